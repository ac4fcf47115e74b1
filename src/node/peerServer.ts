/** Server side of the peer links. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {AnyTRPCRouter} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {PeerContext} from '../protocol/peerRouter.js';

/** Largest message between peers in bytes; a document may take 1 MB. */
const maxMessageBytes = 4 * 1024 * 1024;

/** Compares two keys in a time that doesn't depend on their content. */
export function compareKeys(shown: string, expected: string): boolean {
  const shownHash = createHash('sha256').update(shown).digest();
  const expectedHash = createHash('sha256').update(expected).digest();
  return timingSafeEqual(shownHash, expectedHash);
}

export interface PeerServerOptions {
  host: string;
  port: number;
  peerKey: string;
  router: AnyTRPCRouter;
}

/** Accepts connections of peers; unauthenticated calls are refused. */
export class PeerServer {
  private constructor(private readonly server: WebSocketServer) {}

  /** Starts to listen; rejects when the address can't be bound. */
  static async start(options: PeerServerOptions): Promise<PeerServer> {
    const {host, port, peerKey, router} = options;
    const server = new WebSocketServer({
      host,
      port,
      maxPayload: maxMessageBytes,
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    applyWSSHandler({
      wss: server,
      router,
      createContext: ({info}): PeerContext => ({
        authenticated: compareKeys(
          info.connectionParams?.peerKey ?? '',
          peerKey,
        ),
      }),
    });
    return new PeerServer(server);
  }

  /** Closes all connections and stops to listen. */
  async stop(): Promise<void> {
    for (const socket of this.server.clients) socket.terminate();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }
}
