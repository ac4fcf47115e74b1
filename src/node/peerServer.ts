/** Server for connections of peers: tRPC over WebSocket. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {AddressInfo} from 'node:net';
import type {AnyTRPCRouter} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {PeerContext} from '../protocol/peerRouter.js';
import {TrafficCounter, type Traffic} from './trafficCounter.js';

/** Limit of one message; a configuration document may take 1 MB. */
const maxMessageBytes = 4 * 1024 * 1024;
/** Detects clients that disappeared without closing their connection. */
const keepAlive = {enabled: true, pingMs: 10_000, pongWaitMs: 5_000};
/** Leaves a client with a wrong key the time to read the refusal. */
const refusalCloseDelayMs = 1_000;
const closeCodePolicyViolation = 1008;

/** Compares two keys in constant time. */
export function compareKeys(presented: string, expected: string): boolean {
  const presentedHash = createHash('sha256').update(presented).digest();
  const expectedHash = createHash('sha256').update(expected).digest();
  return timingSafeEqual(presentedHash, expectedHash);
}

export interface PeerServerOptions {
  host: string;
  /** 0 lets the operating system choose a free port. */
  port: number;
  peerKey: string;
  router: AnyTRPCRouter;
}

/**
 * Accepts connections of peers. Calls from a client with a wrong key are
 * refused, and its connection is closed.
 */
export class PeerServer {
  private readonly traffic = new TrafficCounter();

  private constructor(private readonly server: WebSocketServer) {
    server.on('connection', (_socket, request) =>
      this.traffic.add(request.socket),
    );
  }

  /** Starts listening; rejects when the address can't be bound. */
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
        const presentedKey = info.connectionParams?.peerKey ?? '';
        const authenticated = compareKeys(presentedKey, peerKey);
        if (!authenticated) {
          setTimeout(
            () => res.close(closeCodePolicyViolation),
            refusalCloseDelayMs,
          ).unref();
        }
        return {authenticated};
      },
    });
    return new PeerServer(server);
  }

  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Returns the traffic on the connections that peers opened. */
  describeTraffic(): Traffic {
    return this.traffic.describe();
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    for (const socket of this.server.clients) socket.terminate();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }
}
