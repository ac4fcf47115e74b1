/** A single connection to a peer: tRPC over one WebSocket. */
import {createTRPCClient, type TRPCClient, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {WebSocket} from 'ws';
import {PeerError} from '../protocol/errors.js';
import type {DispatcherRouter} from '../protocol/peerRouter.js';
import {RpcSocket} from './rpcSocket.js';
import type {TrafficCounter} from './trafficCounter.js';

/**
 * Time after which a connection without calls is closed. A member of a large
 * fleet pings each other member less often than this, so a longer time would
 * only keep idle connections open.
 */
const idleCloseMs = 20_000;
/** A keep-alive ping is sent when nothing was received for this time. */
const keepAliveIntervalMs = 2_000;
const pongTimeoutMs = 1_000;
const handshakeTimeoutMs = 2_000;

export interface PeerLinkOptions {
  address: string;
  peerKey: string;
  traffic: TrafficCounter;
  /** Called once, when the connection closes. */
  onClosed: (link: PeerLink) => void;
}

/**
 * A link never reconnects, because tRPC would send pending subscriptions again
 * on the new connection. A broken link fails its calls instead, and the caller
 * opens a new link for the next call.
 */
export class PeerLink {
  readonly address: string;
  /** Resolves with the reason when the link breaks; never rejects. */
  readonly broken: Promise<PeerError>;
  readonly client: TRPCClient<DispatcherRouter>;
  private readonly socket: WebSocket;
  private readonly rpcSocket: RpcSocket;
  private resolveBroken!: (error: PeerError) => void;
  private idleTimer: NodeJS.Timeout | undefined;
  private error: PeerError | undefined;
  private activeCalls = 0;
  private retired = false;
  private lastReceivedAtMs = -Infinity;

  constructor(private readonly options: PeerLinkOptions) {
    this.address = options.address;
    this.broken = new Promise(resolve => (this.resolveBroken = resolve));
    this.socket = this.openSocket();
    this.rpcSocket = new RpcSocket({
      socket: this.socket,
      peerKey: options.peerKey,
      keepAliveIntervalMs,
      pongTimeoutMs,
      onBroken: reason => this.close(reason),
    });
    this.client = createTRPCClient<DispatcherRouter>({
      links: [this.createCountingLink(), this.rpcSocket.createLink()],
    });
    this.scheduleIdleClose();
  }

  /** Returns why the link broke; undefined while it works. */
  getError(): PeerError | undefined {
    return this.error;
  }

  /** True when a message arrived since the given `performance.now()` time. */
  hasReceivedSince(timeMs: number): boolean {
    return this.lastReceivedAtMs >= timeMs;
  }

  /** Closes once the running calls have ended; new calls use another link. */
  closeWhenIdle(): void {
    this.retired = true;
    if (this.activeCalls === 0) this.close('the connection was replaced');
  }

  /** Closes the connection; running calls fail with the given reason. */
  close(reason: string): void {
    if (this.error) return;
    this.error = new PeerError(this.address, reason);
    clearTimeout(this.idleTimer);
    this.options.onClosed(this);
    this.resolveBroken(this.error);
    this.rpcSocket.close();
    this.socket.terminate();
  }

  /** Opens the socket; tracks its traffic and the time of the last message. */
  private openSocket(): WebSocket {
    const socket = new WebSocket(`ws://${this.address}/?connectionParams=1`, {
      perMessageDeflate: false,
      handshakeTimeout: handshakeTimeoutMs,
    });
    socket.once('upgrade', response =>
      this.options.traffic.add(response.socket),
    );
    socket.on('message', () => (this.lastReceivedAtMs = performance.now()));
    return socket;
  }

  /** Counts running calls and subscriptions, so that only idle links close. */
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
