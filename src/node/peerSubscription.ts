/** Subscriptions at peers as async iterables. */
import {PeerError} from '../protocol/errors.js';
import type {PeerLink} from './peerLink.js';

/** The part of tRPC's subscription callbacks that is used here. */
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
  /** Called when the peer sent nothing before the start deadline. */
  replaceLink: (link: PeerLink) => void;
  startDeadlineMs: number;
  signal: AbortSignal;
  start: (
    link: PeerLink,
    observer: SubscriptionObserver<T>,
  ) => SubscriptionHandle;
}

/** Values that have arrived and are not read yet, and how the stream ended. */
class Inbox<T> {
  private readonly values: T[] = [];
  private ended = false;
  private error: PeerError | undefined;
  private wake: (() => void) | undefined;

  add(value: T): void {
    if (this.ended) return;
    this.values.push(value);
    this.wake?.();
  }

  finish(error?: PeerError): void {
    if (this.ended) return;
    this.ended = true;
    this.error = error;
    this.wake?.();
  }

  /** Waits for the next value; undefined at the end. */
  async take(): Promise<{value: T} | undefined> {
    while (this.values.length === 0 && !this.ended) {
      await new Promise<void>(resolve => (this.wake = resolve));
    }
    if (this.values.length > 0) return {value: this.values.shift() as T};
    if (this.error) throw this.error;
    return undefined;
  }
}

/** Runs one subscription; leaving the iteration ends it at the peer. */
export async function* readSubscription<T>(
  options: ReadSubscriptionOptions<T>,
): AsyncGenerator<T, void, undefined> {
  const {signal, startDeadlineMs} = options;
  if (signal.aborted) return;
  const inbox = new Inbox<T>();
  const link = options.openLink();
  const startedAtMs = performance.now();
  const timer = setTimeout(() => {
    if (!link.hasReceivedSince(startedAtMs)) options.replaceLink(link);
    const reason = `no subscription within ${startDeadlineMs} ms`;
    inbox.finish(new PeerError(link.address, reason));
  }, startDeadlineMs);
  const finish = () => inbox.finish();
  signal.addEventListener('abort', finish, {once: true});
  void link.broken.then(error => inbox.finish(error));
  const handle = options.start(link, {
    onStarted: () => clearTimeout(timer),
    onData: value => inbox.add(value),
    onError: cause =>
      inbox.finish(new PeerError(link.address, String(cause), {cause})),
    // tRPC also completes the subscriptions of a link that is closed.
    onComplete: () => inbox.finish(link.getError()),
  });
  try {
    for (;;) {
      const next = await inbox.take();
      if (!next || signal.aborted) return;
      yield next.value;
    }
  } finally {
    clearTimeout(timer);
    signal.removeEventListener('abort', finish);
    handle.unsubscribe();
  }
}
