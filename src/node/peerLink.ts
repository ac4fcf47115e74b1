/** One connection to a peer: tRPC over one WebSocket. */
import {
  createTRPCClient,
  createWSClient,
  wsLink,
  type TRPCClient,
  type TRPCLink,
  type TRPCWebSocketClient,
} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {WebSocket} from 'ws';
import {PeerError} from '../protocol/errors.js';
import type {DispatcherRouter} from '../protocol/peerRouter.js';
import type {TrafficCounter} from './trafficCounter.js';

/**
 * A connection without calls is closed after this time, in milliseconds. A
 * member of a large fleet pings each other member less often than this, so a
 * longer time would only keep idle connections open.
 */
const idleCloseMs = 20_000;
/** Without a message for this time, the peer is asked for a sign of life. */
const keepAliveIntervalMs = 2_000;
const pongTimeoutMs = 1_000;
const handshakeTimeoutMs = 2_000;
/** `ws` waits 30 s by default, and pending calls would wait as long. */
const closeTimeoutMs = 250;

export interface PeerLinkOptions {
  address: string;
  peerKey: string;
  traffic: TrafficCounter;
  /** Called once, when the link takes no more calls. */
  onClosed: (link: PeerLink) => void;
}

/**
 * A link never reconnects: tRPC would silently send waiting subscriptions
 * again on the new connection. A broken link fails its calls instead, and the
 * next call opens a new link.
 */
export class PeerLink {
  readonly address: string;
  /** Settles when the link breaks; never rejects. */
  readonly broken: Promise<PeerError>;
  readonly client: TRPCClient<DispatcherRouter>;
  private readonly webSocket: TRPCWebSocketClient;
  private readonly sockets = new Set<WebSocket>();
  private resolveBroken!: (error: PeerError) => void;
  private idleTimer: NodeJS.Timeout | undefined;
  private error: PeerError | undefined;
  private activeCalls = 0;
  private retired = false;
  private lastReceivedAtMs = -Infinity;

  constructor(private readonly options: PeerLinkOptions) {
    this.address = options.address;
    this.broken = new Promise(resolve => (this.resolveBroken = resolve));
    this.webSocket = createWSClient({
      url: `ws://${options.address}`,
      WebSocket: this.createSocketClass(),
      connectionParams: () => ({peerKey: options.peerKey}),
      keepAlive: {
        enabled: true,
        intervalMs: keepAliveIntervalMs,
        pongTimeoutMs,
      },
      onClose: () => this.close('the connection closed'),
      onError: () => this.close('the connection failed'),
    });
    this.client = createTRPCClient<DispatcherRouter>({
      links: [this.createCountingLink(), wsLink({client: this.webSocket})],
    });
    this.scheduleIdleClose();
  }

  /** Why the link broke; undefined while it works. */
  getError(): PeerError | undefined {
    return this.error;
  }

  /** True when the peer sent anything since a time of `performance.now()`. */
  hasReceivedSince(timeMs: number): boolean {
    return this.lastReceivedAtMs >= timeMs;
  }

  /** Lets running calls end, then closes; new calls use another link. */
  closeWhenIdle(): void {
    this.retired = true;
    if (this.activeCalls === 0) this.close('the connection was replaced');
  }

  /** Closes the connection; running calls fail with the reason. */
  close(reason: string): void {
    if (this.error) return;
    this.error = new PeerError(this.address, reason);
    clearTimeout(this.idleTimer);
    this.options.onClosed(this);
    this.resolveBroken(this.error);
    // Ends the subscriptions and the attempts to reconnect.
    this.webSocket.close().catch(() => {});
    for (const socket of this.sockets) socket.terminate();
  }

  /** WebSocket class that counts bytes and notes when messages arrive. */
  private createSocketClass(): typeof globalThis.WebSocket {
    const {options, sockets} = this;
    const noteReceived = () => (this.lastReceivedAtMs = performance.now());
    const isClosed = () => this.error !== undefined;
    class LinkSocket extends WebSocket {
      constructor(url: string) {
        const closeTimeout = {closeTimeout: closeTimeoutMs};
        super(url, {
          perMessageDeflate: false,
          handshakeTimeout: handshakeTimeoutMs,
          ...closeTimeout,
        });
        sockets.add(this);
        this.once('upgrade', response => {
          options.traffic.add(response.socket);
          if (isClosed()) this.terminate();
        });
        this.on('message', noteReceived);
        this.once('close', () => sockets.delete(this));
      }
    }
    return LinkSocket as unknown as typeof globalThis.WebSocket;
  }

  /** Counts calls and subscriptions, so that a link in use isn't closed. */
  private createCountingLink(): TRPCLink<DispatcherRouter> {
    return () =>
      ({op, next}) =>
        observable(observer => {
          this.beginCall();
          const subscription = next(op).subscribe(observer);
          return () => {
            subscription.unsubscribe();
            this.endCall();
          };
        });
  }

  private beginCall(): void {
    this.activeCalls += 1;
    clearTimeout(this.idleTimer);
  }

  private endCall(): void {
    this.activeCalls -= 1;
    if (this.activeCalls > 0 || this.error) return;
    if (this.retired) this.close('the connection was replaced');
    else this.scheduleIdleClose();
  }

  private scheduleIdleClose(): void {
    clearTimeout(this.idleTimer);
    this.idleTimer = setTimeout(
      () => this.close('the connection was idle'),
      idleCloseMs,
    );
  }
}
