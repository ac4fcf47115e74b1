/** Connections to peers: tRPC over WebSocket, opened when first used. */
import {
  createTRPCClient,
  createWSClient,
  wsLink,
  type TRPCClient,
  type TRPCWebSocketClient,
} from '@trpc/client';
import {errAsync, ResultAsync} from 'neverthrow';
import {WebSocket} from 'ws';
import {PeerError} from '../protocol/errors.js';
import type {DispatcherRouter, GatewayRouter} from '../protocol/peerRouter.js';

export type DispatcherClient = TRPCClient<DispatcherRouter>;
export type GatewayClient = TRPCClient<GatewayRouter>;

/** An unused connection is closed after this time, in milliseconds. */
const idleCloseMs = 60_000;
const keepAliveIntervalMs = 5_000;
const pongTimeoutMs = 2_000;
const firstReconnectDelayMs = 50;
const maxReconnectDelayMs = 1_000;

interface Link {
  webSocket: TRPCWebSocketClient;
  client: unknown;
}

/**
 * Holds at most one connection per peer address.
 *
 * @example
 * const answer = await links.call(address, 500, (client, signal) =>
 *     client.members.ping.mutate(ping, {signal}));
 */
export class PeerLinks {
  private readonly links = new Map<string, Link>();

  constructor(private readonly peerKey: string) {}

  /** Returns the client of a dispatcher. */
  getDispatcher(address: string): DispatcherClient {
    return this.getLink(address).client as DispatcherClient;
  }

  /** Returns the client of a gateway. */
  getGateway(address: string): GatewayClient {
    return this.getLink(address).client as GatewayClient;
  }

  /**
   * Calls a dispatcher with a deadline. After a timeout the connection is
   * replaced, because it may have gone silent while new ones work.
   */
  callDispatcher<T>(
    address: string,
    deadlineMs: number,
    call: (client: DispatcherClient, signal: AbortSignal) => Promise<T>,
  ): ResultAsync<T, PeerError> {
    return this.callPeer(address, deadlineMs, signal =>
      call(this.getDispatcher(address), signal),
    );
  }

  /** Calls a gateway with a deadline. */
  callGateway<T>(
    address: string,
    deadlineMs: number,
    call: (client: GatewayClient, signal: AbortSignal) => Promise<T>,
  ): ResultAsync<T, PeerError> {
    return this.callPeer(address, deadlineMs, signal =>
      call(this.getGateway(address), signal),
    );
  }

  /** Closes the connection to a peer; the next call opens a new one. */
  drop(address: string): void {
    const link = this.links.get(address);
    if (!link) return;
    this.links.delete(address);
    void link.webSocket.close();
  }

  /** Closes all connections. */
  close(): void {
    for (const address of [...this.links.keys()]) this.drop(address);
  }

  private callPeer<T>(
    address: string,
    deadlineMs: number,
    call: (signal: AbortSignal) => Promise<T>,
  ): ResultAsync<T, PeerError> {
    if (deadlineMs <= 0) {
      return errAsync(new PeerError(address, 'the deadline has passed'));
    }
    const abortController = new AbortController();
    const timedOut = Symbol('timedOut');
    const timeout = new Promise<typeof timedOut>(resolve => {
      const timer = setTimeout(() => resolve(timedOut), deadlineMs);
      abortController.signal.addEventListener('abort', () =>
        clearTimeout(timer),
      );
    });
    const attempt = async (): Promise<T> => {
      const first = await Promise.race([call(abortController.signal), timeout]);
      if (first !== timedOut) return first as T;
      this.drop(address);
      throw new PeerError(address, `no answer within ${deadlineMs} ms`);
    };
    return ResultAsync.fromPromise(
      attempt().finally(() => abortController.abort()),
      cause =>
        cause instanceof PeerError
          ? cause
          : new PeerError(address, String(cause), {cause}),
    );
  }

  private getLink(address: string): Link {
    const existing = this.links.get(address);
    if (existing) return existing;
    const webSocket = createWSClient({
      url: `ws://${address}`,
      WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
      connectionParams: () => ({peerKey: this.peerKey}),
      lazy: {enabled: true, closeMs: idleCloseMs},
      keepAlive: {
        enabled: true,
        intervalMs: keepAliveIntervalMs,
        pongTimeoutMs,
      },
      retryDelayMs: attempt =>
        Math.min(firstReconnectDelayMs * 2 ** attempt, maxReconnectDelayMs),
    });
    const client = createTRPCClient<DispatcherRouter>({
      links: [wsLink({client: webSocket})],
    });
    const link = {webSocket, client};
    this.links.set(address, link);
    return link;
  }
}
