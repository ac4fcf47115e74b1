/** Races a first attempt against its hedge; the first token decides. */
import {waitFor} from '../node/delay.js';
import type {ChatAttempt} from './chatAttempt.js';
import type {AttemptEnd} from './engineStream.js';

/** An explicit reason avoids the stack capture of a default AbortError. */
const hedgingAbortReason = 'hedging is over';

/** A finished attempt and how it ended. */
export interface EndedAttempt {
  attempt: ChatAttempt;
  end: AttemptEnd;
}

export interface AttemptRaceOptions {
  primary: ChatAttempt;
  /** Delay before the hedge is sent; undefined disables hedging. */
  hedgeDelayMs: number | undefined;
  /** Acquires a slot for the hedge; undefined when none is free. */
  acquireHedge: (signal: AbortSignal) => Promise<ChatAttempt | undefined>;
  countHedgeWon: () => void;
  /** Called for a finished attempt that does not answer the request. */
  drop: (ended: EndedAttempt) => void;
}

/** Runs the attempts and drops every one except the one it returns. */
export class AttemptRace {
  private readonly hedging = new AbortController();
  private hedge: ChatAttempt | undefined;
  private winner: ChatAttempt | undefined;
  private primaryHasEnded = false;

  constructor(private readonly options: AttemptRaceOptions) {}

  /**
   * Makes the first attempt that calls this the winner and aborts the other
   * one. Returns true to the winner on every call, and false to the loser.
   */
  acquire(attempt: ChatAttempt): boolean {
    if (this.winner) return this.winner === attempt;
    this.winner = attempt;
    const {primary} = this.options;
    if (attempt === primary) {
      this.hedging.abort(hedgingAbortReason);
      this.hedge?.abort();
    } else {
      this.options.countHedgeWon();
      primary.abort();
    }
    return true;
  }

  /** Resolves to the winning attempt, or to the last one that failed. */
  async run(): Promise<EndedAttempt> {
    const {primary, drop} = this.options;
    const hedging = this.runHedge();
    const primaryEnded = {attempt: primary, end: await primary.run()};
    this.primaryHasEnded = true;
    if (!this.hedge || this.winner === primary) {
      this.hedging.abort(hedgingAbortReason);
      return primaryEnded;
    }
    drop(primaryEnded);
    return (await hedging) ?? primaryEnded;
  }

  private async runHedge(): Promise<EndedAttempt | undefined> {
    const {hedgeDelayMs, acquireHedge, drop} = this.options;
    if (hedgeDelayMs === undefined) return undefined;
    const {signal} = this.hedging;
    await waitFor(hedgeDelayMs, signal);
    if (signal.aborted) return undefined;
    const hedge = await acquireHedge(signal);
    if (!hedge) return undefined;
    if (signal.aborted) hedge.abort();
    else this.hedge = hedge;
    const ended = {attempt: hedge, end: await hedge.run()};
    const isLast = this.primaryHasEnded && !this.winner && !signal.aborted;
    if (this.winner === hedge || isLast) return ended;
    this.hedge = undefined;
    drop(ended);
    return undefined;
  }
}
