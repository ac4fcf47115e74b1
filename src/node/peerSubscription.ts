/** Exposes tRPC subscriptions at peers as async iterables. */
import {PeerError} from '../protocol/errors.js';
import type {PeerLink} from './peerLink.js';

/** The subset of tRPC's subscription callbacks that is used. */
export interface SubscriptionObserver<T> {
  onStarted: () => void;
  onData: (value: T) => void;
  onError: (error: unknown) => void;
  onComplete: () => void;
}

export interface SubscriptionHandle {
  unsubscribe(): void;
}

export interface ReadSubscriptionOptions<T> {
  openLink: () => PeerLink;
  /** Called when no message arrived on the link before the start deadline. */
  replaceLink: (link: PeerLink) => void;
  startDeadlineMs: number;
  signal: AbortSignal;
  start: (
    link: PeerLink,
    observer: SubscriptionObserver<T>,
  ) => SubscriptionHandle;
}

/** Buffers received values until they are read, and how the stream ended. */
class AsyncQueue<T> {
  private readonly values: T[] = [];
  private ended = false;
  private error: PeerError | undefined;
  private wakeReader: (() => void) | undefined;

  add(value: T): void {
    if (this.ended) return;
    this.values.push(value);
    this.wakeReader?.();
  }

  finish(error?: PeerError): void {
    if (this.ended) return;
    this.ended = true;
    this.error = error;
    this.wakeReader?.();
  }

  /**
   * Waits for the next value. Returns undefined at the end, or throws the error
   * that ended the stream.
   */
  async take(): Promise<{value: T} | undefined> {
    while (this.values.length === 0 && !this.ended) {
      await new Promise<void>(resolve => (this.wakeReader = resolve));
    }
    if (this.values.length > 0) return {value: this.values.shift() as T};
    if (this.error) throw this.error;
    return undefined;
  }
}

/**
 * Runs one subscription. Leaving the iteration unsubscribes at the peer.
 *
 * @throws PeerError when the link breaks, the peer answers with an error or the
 * peer doesn't confirm the subscription before the start deadline.
 */
export async function* readSubscription<T>(
  options: ReadSubscriptionOptions<T>,
): AsyncGenerator<T, void, undefined> {
  const {signal, startDeadlineMs} = options;
  if (signal.aborted) return;
  const queue = new AsyncQueue<T>();
  const link = options.openLink();
  const startedAtMs = performance.now();
  const timer = setTimeout(() => {
    if (!link.hasReceivedSince(startedAtMs)) options.replaceLink(link);
    const reason = `no subscription within ${startDeadlineMs} ms`;
    queue.finish(new PeerError(link.address, reason));
  }, startDeadlineMs);
  const finish = () => queue.finish();
  signal.addEventListener('abort', finish, {once: true});
  void link.broken.then(error => queue.finish(error));
  const handle = options.start(link, {
    onStarted: () => clearTimeout(timer),
    onData: value => queue.add(value),
    onError: cause =>
      queue.finish(new PeerError(link.address, String(cause), {cause})),
    // tRPC also calls this when the link is closed; then the link has an error.
    onComplete: () => queue.finish(link.getError()),
  });
  try {
    for (;;) {
      const next = await queue.take();
      if (!next || signal.aborted) return;
      yield next.value;
    }
  } finally {
    clearTimeout(timer);
    signal.removeEventListener('abort', finish);
    handle.unsubscribe();
  }
}
