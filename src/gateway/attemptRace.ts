/** A first attempt and its hedge: the one with the first token answers. */
import {waitFor} from '../node/delay.js';
import type {ChatAttempt} from './chatAttempt.js';
import type {AttemptEnd} from './engineStream.js';

/** A reason of its own saves the stack trace of the default reason. */
const hedgingIsOver = 'hedging is over';

/** An attempt that is over. */
export interface EndedAttempt {
  attempt: ChatAttempt;
  end: AttemptEnd;
}

export interface AttemptRaceOptions {
  primary: ChatAttempt;
  /** Time after which to hedge; undefined for never. */
  hedgeDelayMs: number | undefined;
  /** Gets a slot for the hedge; undefined when there is none. */
  acquireHedge: (signal: AbortSignal) => Promise<ChatAttempt | undefined>;
  noteHedgeWon: () => void;
  /** Takes an attempt that is over and doesn't answer the request. */
  drop: (ended: EndedAttempt) => void;
}

/** Runs the attempts; each but the returned one is dropped. */
export class AttemptRace {
  private readonly hedging = new AbortController();
  private hedge: ChatAttempt | undefined;
  private winner: ChatAttempt | undefined;
  private primaryIsOver = false;

  constructor(private readonly options: AttemptRaceOptions) {}

  /** True for the attempt that answers the request: the first to ask. */
  acquire(attempt: ChatAttempt): boolean {
    if (this.winner) return this.winner === attempt;
    this.winner = attempt;
    const {primary} = this.options;
    if (attempt === primary) {
      this.hedging.abort(hedgingIsOver);
      this.hedge?.abort();
    } else {
      this.options.noteHedgeWon();
      primary.abort();
    }
    return true;
  }

  /** Resolves to the attempt that answered, or to the last that failed. */
  async run(): Promise<EndedAttempt> {
    const {primary, drop} = this.options;
    const hedging = this.runHedge();
    const primaryEnded = {attempt: primary, end: await primary.run()};
    this.primaryIsOver = true;
    if (!this.hedge || this.winner === primary) {
      this.hedging.abort(hedgingIsOver);
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
    const isLast = this.primaryIsOver && !this.winner && !signal.aborted;
    if (this.winner === hedge || isLast) return ended;
    this.hedge = undefined;
    drop(ended);
    return undefined;
  }
}
