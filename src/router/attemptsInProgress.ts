/** The attempts of one request that are in progress. */
import {SilentConnectionError, SupersededError} from '../protocol/errors.js';
import type {AttemptResult} from './backendAttempt.js';
import type {SentAttempt} from './sentAttempt.js';

/**
 * Longest time that two servers may have the request, in milliseconds. A server
 * without room refuses at once, so one that hasn't refused by then has taken it.
 * The platform allows 400 ms, part of which the close of the connection takes.
 */
const maxOverlapMs = 150;
/** Interval of the check whether that time has passed, in milliseconds. */
const overlapCheckMs = 25;

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly attempt: SentAttempt;
  readonly result: AttemptResult;
}

/**
 * Holds the attempts of a request in the order in which they were sent. More
 * than one is in progress only for a short time, while the request is sent again
 * beside a silent attempt.
 */
export class AttemptsInProgress {
  private readonly attempts = new Set<SentAttempt>();
  /** Ended attempts that `waitForEnd` has not returned yet. */
  private readonly ended: EndedAttempt[] = [];
  private failure: {readonly error: unknown} | undefined;
  private notify: () => void = () => undefined;

  /** @param recordLoss - called when an attempt that was given up has ended */
  constructor(private readonly recordLoss: (lost: EndedAttempt) => void) {}

  /** Attempts that are in progress or whose end is not handled yet. */
  get size(): number {
    return this.attempts.size;
  }

  /** Adds an attempt until its result has been handled. */
  add(attempt: SentAttempt, result: Promise<AttemptResult>): void {
    this.attempts.add(attempt);
    const handleEnd = (value: AttemptResult) => {
      const end = {attempt, result: value};
      if (!this.attempts.has(attempt)) {
        this.recordLoss(end);
        return;
      }
      this.ended.push(end);
      this.notify();
    };
    void result.then(handleEnd, (error: unknown) => {
      this.failure = {error};
      this.notify();
    });
  }

  /** True until the attempt has been given up or its end been handled. */
  has(attempt: SentAttempt): boolean {
    return this.attempts.has(attempt);
  }

  /** Lists the ids of the servers of the attempts. */
  listServers(): string[] {
    return [...this.attempts].map(({selection}) => selection.server.id);
  }

  /** The only attempt; undefined if there are several or none. */
  get only(): SentAttempt | undefined {
    const [attempt] = this.attempts;
    return this.size === 1 ? attempt : undefined;
  }

  /**
   * Waits until an attempt ends that has not been given up; removes it. Rejects
   * if the supervision of an attempt has failed.
   */
  async waitForEnd(): Promise<EndedAttempt> {
    for (;;) {
      if (this.failure) throw this.failure.error;
      const end = this.ended.shift();
      if (end) {
        this.attempts.delete(end.attempt);
        return end;
      }
      await new Promise<void>(resolve => (this.notify = resolve));
    }
  }

  /**
   * Aborts all other attempts soon after this one was sent, unless it ends
   * before.
   */
  scheduleAbortOfOthers(attempt: SentAttempt): void {
    const check = () => {
      // After a delay of the event loop, timers run before a refusal is read.
      if (attempt.measureSentMs() >= maxOverlapMs) setImmediate(confirm);
    };
    const confirm = () => {
      clearInterval(timer);
      if (this.has(attempt)) this.abortOthers(attempt);
    };
    const timer = setInterval(() => {
      if (this.has(attempt)) check();
      else clearInterval(timer);
    }, overlapCheckMs);
  }

  /** Aborts all other attempts, which closes their connections at once. */
  abortOthers(kept: SentAttempt): void {
    for (const attempt of [...this.attempts]) {
      if (attempt === kept) continue;
      this.attempts.delete(attempt);
      const index = this.ended.findIndex(end => end.attempt === attempt);
      if (index >= 0) {
        this.recordLoss(this.ended.splice(index, 1)[0]);
        continue;
      }
      // The request is sent again only beside an attempt that is silent.
      attempt.abort(
        attempt.sentAtMs <= kept.sentAtMs
          ? new SilentConnectionError('silent, and another server went on')
          : new SupersededError('the silent server went on'),
      );
    }
  }
}
