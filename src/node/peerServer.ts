/** Server side of the peer links. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {AddressInfo} from 'node:net';
import type {AnyTRPCRouter} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {PeerContext} from '../protocol/peerRouter.js';
import {TrafficCounter, type Traffic} from './trafficCounter.js';

/** Largest message between peers in bytes; a document may take 1 MB. */
const maxMessageBytes = 4 * 1024 * 1024;
/** Finds clients that vanished without closing their connection. */
const keepAlive = {enabled: true, pingMs: 10_000, pongWaitMs: 5_000};
/** Time in which a client with a wrong key reads why it is refused. */
const refusalLingerMs = 1_000;
const closeCodePolicyViolation = 1008;

/** Compares two keys in a time that doesn't depend on their content. */
export function compareKeys(shown: string, expected: string): boolean {
  const shownHash = createHash('sha256').update(shown).digest();
  const expectedHash = createHash('sha256').update(expected).digest();
  return timingSafeEqual(shownHash, expectedHash);
}

export interface PeerServerOptions {
  host: string;
  /** 0 lets the system choose. */
  port: number;
  peerKey: string;
  router: AnyTRPCRouter;
}

/** Accepts connections of peers; unauthenticated calls are refused. */
export class PeerServer {
  private readonly traffic = new TrafficCounter();

  private constructor(private readonly server: WebSocketServer) {
    server.on('connection', (_socket, request) =>
      this.traffic.add(request.socket),
    );
  }

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
      keepAlive,
      createContext: ({info, res}): PeerContext => {
        const shown = info.connectionParams?.peerKey ?? '';
        const authenticated = compareKeys(shown, peerKey);
        if (!authenticated) {
          setTimeout(
            () => res.close(closeCodePolicyViolation),
            refusalLingerMs,
          ).unref();
        }
        return {authenticated};
      },
    });
    return new PeerServer(server);
  }

  /** Port that the server listens on. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Bytes of the connections that peers opened. */
  describeTraffic(): Traffic {
    return this.traffic.describe();
  }

  /** Closes all connections and stops to listen. */
  async stop(): Promise<void> {
    for (const socket of this.server.clients) socket.terminate();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }
}
