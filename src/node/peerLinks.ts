/** Connections to peers: tRPC over WebSocket, opened on demand. */
import type {TRPCClient} from '@trpc/client';
import {errAsync, ResultAsync} from 'neverthrow';
import {PeerError} from '../protocol/errors.js';
import type {DispatcherRouter, GatewayRouter} from '../protocol/peerRouter.js';
import {PeerLink} from './peerLink.js';
import {
  readSubscription,
  type SubscriptionObserver,
  type SubscriptionHandle,
} from './peerSubscription.js';
import {TrafficCounter, type Traffic} from './trafficCounter.js';

export type DispatcherClient = TRPCClient<DispatcherRouter>;
export type GatewayClient = TRPCClient<GatewayRouter>;

export interface SubscribeOptions<T> {
  /** Time within which the peer must confirm the subscription. */
  startDeadlineMs: number;
  signal: AbortSignal;
  start: (
    client: DispatcherClient,
    observer: SubscriptionObserver<T>,
  ) => SubscriptionHandle;
}

/**
 * Holds at most one connection per peer address for new calls. The next call
 * replaces a connection that broke.
 *
 * @example
 * const answer = await links.callGateway(address, 500, (client, signal) =>
 *     client.members.ping.mutate(ping, {signal}));
 */
export class PeerLinks {
  private readonly links = new Map<string, PeerLink>();
  /** Links that were replaced but still have running calls. */
  private readonly retiredLinks = new Set<PeerLink>();
  private readonly traffic = new TrafficCounter();

  constructor(private readonly peerKey: string) {}

  /** Returns the client of a dispatcher; valid until the link breaks. */
  getDispatcher(address: string): DispatcherClient {
    return this.getLink(address).client;
  }

  /** Returns the client of a gateway; valid until the link breaks. */
  getGateway(address: string): GatewayClient {
    return this.getLink(address).client as unknown as GatewayClient;
  }

  /**
   * Calls a dispatcher with a deadline. The call fails as soon as the
   * connection breaks or can't be opened. When the call times out and no
   * message at all has arrived meanwhile, new calls get a new connection,
   * because the old one may be dead although new ones work. Other calls that
   * run on it continue.
   */
  callDispatcher<T>(
    address: string,
    deadlineMs: number,
    call: (client: DispatcherClient, signal: AbortSignal) => Promise<T>,
  ): ResultAsync<T, PeerError> {
    return this.callPeer(address, deadlineMs, (link, signal) =>
      call(link.client, signal),
    );
  }

  /** Calls a gateway with a deadline, like `callDispatcher`. */
  callGateway<T>(
    address: string,
    deadlineMs: number,
    call: (client: GatewayClient, signal: AbortSignal) => Promise<T>,
  ): ResultAsync<T, PeerError> {
    return this.callPeer(address, deadlineMs, (link, signal) =>
      call(link.client as unknown as GatewayClient, signal),
    );
  }

  /**
   * Subscribes to events of a dispatcher. The iteration ends when the peer
   * completes it or the signal aborts. It throws a `PeerError` when the link
   * breaks, the peer answers with an error or the start deadline passes.
   *
   * @example
   * for await (const event of links.subscribe<LeaseEvent>(address, {
   *   startDeadlineMs: 1_000,
   *   signal,
   *   start: (client, observer) =>
   *     client.leases.acquire.subscribe(request, observer),
   * })) handleEvent(event);
   */
  subscribe<T>(
    address: string,
    {startDeadlineMs, signal, start}: SubscribeOptions<T>,
  ): AsyncIterable<T> {
    return readSubscription<T>({
      openLink: () => this.getLink(address),
      replaceLink: link => this.replace(link),
      startDeadlineMs,
      signal,
      start: (link, observer) => start(link.client, observer),
    });
  }

  /** True when a peer has sent a message on its current connection. */
  isOpen(address: string): boolean {
    return this.links.get(address)?.hasReceivedSince(0) ?? false;
  }

  /** Closes the connection to a peer; the next call opens a new one. */
  drop(address: string): void {
    this.links.get(address)?.close('the connection was dropped');
  }

  /** Closes all connections. */
  close(): void {
    for (const link of [...this.links.values(), ...this.retiredLinks]) {
      link.close('this process is stopping');
    }
  }

  /** Returns the traffic on the connections that this process opened. */
  describeTraffic(): Traffic {
    return this.traffic.describe();
  }

  private callPeer<T>(
    address: string,
    deadlineMs: number,
    call: (link: PeerLink, signal: AbortSignal) => Promise<T>,
  ): ResultAsync<T, PeerError> {
    if (deadlineMs <= 0) {
      return errAsync(new PeerError(address, 'the deadline has passed'));
    }
    return ResultAsync.fromPromise(
      this.runCall(address, deadlineMs, call),
      cause =>
        cause instanceof PeerError
          ? cause
          : new PeerError(address, String(cause), {cause}),
    );
  }

  private async runCall<T>(
    address: string,
    deadlineMs: number,
    call: (link: PeerLink, signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const link = this.getLink(address);
    const startedAtMs = performance.now();
    const abortController = new AbortController();
    let timer: NodeJS.Timeout | undefined;
    const failed = new Promise<PeerError>(resolve => {
      void link.broken.then(resolve);
      timer = setTimeout(() => {
        if (!link.hasReceivedSince(startedAtMs)) this.replace(link);
        resolve(new PeerError(address, `no answer within ${deadlineMs} ms`));
      }, deadlineMs);
    });
    try {
      const answer = call(link, abortController.signal);
      // Handles a rejection after the race, e.g. when the call is aborted.
      answer.catch(() => {});
      const first = await Promise.race([answer, failed]);
      if (first instanceof PeerError) throw first;
      return first;
    } finally {
      clearTimeout(timer);
      abortController.abort();
    }
  }

  private replace(link: PeerLink): void {
    if (this.links.get(link.address) !== link) return;
    this.links.delete(link.address);
    this.retiredLinks.add(link);
    link.closeWhenIdle();
  }

  private getLink(address: string): PeerLink {
    const existing = this.links.get(address);
    if (existing) return existing;
    const link = new PeerLink({
      address,
      peerKey: this.peerKey,
      traffic: this.traffic,
      onClosed: closed => this.forget(closed),
    });
    this.links.set(address, link);
    return link;
  }

  private forget(link: PeerLink): void {
    this.retiredLinks.delete(link);
    if (this.links.get(link.address) === link) this.links.delete(link.address);
  }
}
