/**
 * Queue in which requests wait for processor time, so that new connections are
 * accepted in time. libuv accepts one connection in each iteration of the event
 * loop. If iterations are long, connections wait unread for seconds, and neither
 * the age of their requests is known nor whether their callers have left.
 */

/** Result of waiting for a turn. */
export enum Turn {
  /** The request may be processed now. */
  Granted = 'granted',
  /** The request has waited too long and must be refused. */
  Expired = 'expired',
  /** The caller has disconnected. */
  Abandoned = 'abandoned',
}

/**
 * Longest time for which requests are processed before the next poll for
 * events, and for which connections are accepted before the next requests, in
 * milliseconds. It is a small part of the shortest targets and pauses.
 */
const sliceMs = 10;

export interface TurnRequest {
  /** 0 is the most urgent. Within a rank, the first to arrive is the first. */
  readonly rank: number;
  /**
   * Negative for a request that is too late already. It gets a turn only if the
   * processor has time for it at once and no more connections come in.
   */
  readonly maxWaitMs: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

interface WaitingTurn {
  readonly rank: number;
  /** Iteration of the event loop in which the request was read. */
  readonly iteration: number;
  readonly expiresAtMs: number;
  readonly isLate: boolean;
  readonly signal: AbortSignal;
  readonly settle: (turn: Turn) => void;
}

/**
 * Grants turns in order of urgency.
 *
 * @example
 * const turn = await turns.wait({rank: 1, maxWaitMs: 250, signal});
 * if (turn === Turn.Granted) forward();
 */
export class TurnQueue {
  private waiting: WaitingTurn[] = [];
  /** Counts the iterations of the event loop that had requests or connections. */
  private iteration = 0;
  private lastAcceptIteration = -Infinity;
  /** Start of the current slice; undefined when none is scheduled. */
  private sliceStartedAtMs: number | undefined;
  /** Since when each iteration has accepted a connection. */
  private acceptingSinceMs: number | undefined;

  /** Number of requests that wait. */
  get size(): number {
    return this.waiting.length;
  }

  /**
   * Records that a connection was accepted. More may be pending, so that
   * requests wait for the next iteration.
   */
  recordAccept(): void {
    this.lastAcceptIteration = this.iteration;
    this.acceptingSinceMs ??= performance.now();
    this.ensureSlice();
  }

  /**
   * Waits for a turn. While the processor keeps up, it is granted after the next
   * poll.
   */
  wait({rank, maxWaitMs, signal}: TurnRequest): Promise<Turn> {
    return new Promise(settle => {
      const {iteration} = this;
      const expiresAtMs = performance.now() + maxWaitMs;
      const isLate = maxWaitMs < 0;
      this.waiting.push({
        rank,
        iteration,
        expiresAtMs,
        isLate,
        signal,
        settle,
      });
      this.ensureSlice();
    });
  }

  /** Makes a slice start once the events of this poll have been handled. */
  private ensureSlice(): void {
    if (this.sliceStartedAtMs !== undefined) return;
    this.sliceStartedAtMs = performance.now();
    setImmediate(() => void this.runSlice());
  }

  private async runSlice(): Promise<void> {
    this.sliceStartedAtMs = performance.now();
    this.removeEnded();
    const {iteration, lastAcceptIteration} = this;
    if (lastAcceptIteration < iteration) this.acceptingSinceMs = undefined;
    await this.grantTurns();
    this.sliceStartedAtMs = undefined;
    this.iteration += 1;
    if (this.waiting.length > 0) this.ensureSlice();
  }

  private async grantTurns(): Promise<void> {
    while (this.hasTimeLeft()) {
      const turn = this.takeMostUrgent();
      if (!turn) break;
      turn.settle(Turn.Granted);
      await waitForMicrotasks();
      // Connections are accepted again once requests have had their share.
      if (!this.hasTimeLeft()) this.acceptingSinceMs = undefined;
    }
  }

  private hasTimeLeft(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.sliceStartedAtMs! >= sliceMs) return false;
    const isAccepting = this.lastAcceptIteration === this.iteration;
    return !isAccepting || nowMs - this.acceptingSinceMs! >= sliceMs;
  }

  /** Settles the turns that are of no use any more. */
  private removeEnded(): void {
    const nowMs = performance.now();
    this.waiting = this.waiting.filter(turn => {
      const {signal, iteration, expiresAtMs, isLate, settle} = turn;
      if (signal.aborted) {
        settle(Turn.Abandoned);
        return false;
      }
      // The end of the caller's connection may be unread.
      if (iteration === this.iteration || nowMs <= expiresAtMs) return true;
      // Before the second slice, no turn could have been granted.
      const couldBeTaken = iteration < this.iteration - 1;
      const isAccepting = this.lastAcceptIteration === this.iteration;
      if (!couldBeTaken && !(isLate && isAccepting)) return true;
      settle(Turn.Expired);
      return false;
    });
  }

  /**
   * Takes the most urgent request, of these one that isn't late if there is one.
   * A request may have waited in the socket, and whether its caller has left
   * shows only at the next poll: the end of a connection isn't read together
   * with the data before it. So it isn't taken in the iteration in which it was
   * read.
   */
  private takeMostUrgent(): WaitingTurn | undefined {
    let best: number | undefined;
    for (const [index, turn] of this.waiting.entries()) {
      if (turn.iteration === this.iteration) continue;
      if (best === undefined || isBefore(turn, this.waiting[best]))
        best = index;
    }
    return best === undefined ? undefined : this.waiting.splice(best, 1)[0];
  }
}

/** True for a request that is taken although the other one came first. */
function isBefore(turn: WaitingTurn, other: WaitingTurn): boolean {
  if (turn.rank !== other.rank) return turn.rank < other.rank;
  return !turn.isLate && other.isLate;
}

/** Waits until the work that a settled promise causes at once has been done. */
function waitForMicrotasks(): Promise<void> {
  return new Promise(resolve => process.nextTick(resolve));
}
