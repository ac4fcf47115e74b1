/**
 * Pace of readers whose input takes much processor time.
 *
 * The time that input takes grows with its pieces and lines rather than with its
 * bytes, and Node.js reads up to 2 MB from a connection in one turn of the event
 * loop. A reader with too many pieces in a turn pauses for as long as that turn
 * took, so that all such readers together get at most half of the processor's time.
 */

/**
 * Pieces of one reader in a turn before it pauses. They take about a
 * millisecond. What has been read until then, up to 64 KB, is still parsed.
 */
const maxReaderPieces = 1_024;
/** Pieces that paused readers had in their last turn, of those that go on. */
const maxTurnPieces = 4 * maxReaderPieces;
/**
 * Longest pause in milliseconds: a turn may also have been long because the
 * process was suspended.
 */
const maxPauseMs = 100;

/** A source of input that can be paused. */
export interface PausableSource {
  pause(): void;
  resume(): void;
}

/** Counts pieces by the turn of the event loop, and pauses readers. */
export class ReadPacer {
  /** Pauses since the start, for metrics. */
  pauses = 0;
  /** Paused readers, the longest paused first. */
  private readonly paused = new Set<PacedReader>();
  private turn = 0;
  private turnStartedAtMs = 0;
  private isInTurn = false;
  /** True once a reader has paused in this turn. */
  private isCostly = false;
  private timer: NodeJS.Timeout | undefined;

  /** Adds a reader; without a source it is only counted. */
  add(source?: PausableSource): PacedReader {
    return new PacedReader(source, {
      beginTurn: () => this.beginTurn(),
      pause: reader => this.pause(reader),
      remove: reader => this.paused.delete(reader),
    });
  }

  private beginTurn(): number {
    if (!this.isInTurn) {
      this.isInTurn = true;
      this.turn += 1;
      this.turnStartedAtMs = performance.now();
      setImmediate(() => this.finishTurn());
    }
    return this.turn;
  }

  private pause(reader: PacedReader): void {
    this.pauses += 1;
    this.isCostly = true;
    this.paused.add(reader);
  }

  private finishTurn(): void {
    this.isInTurn = false;
    if (!this.isCostly) return;
    this.isCostly = false;
    // As long as the turn, so that the rest gets half of the time.
    const turnMs = performance.now() - this.turnStartedAtMs;
    this.scheduleResume(Math.min(turnMs, maxPauseMs));
  }

  private scheduleResume(delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.resumeSome(delayMs), delayMs);
  }

  private resumeSome(delayMs: number): void {
    let pieces = 0;
    for (const reader of this.paused) {
      pieces += reader.pieces;
      if (pieces > reader.pieces && pieces > maxTurnPieces) break;
      this.paused.delete(reader);
      reader.resume();
    }
    if (this.paused.size > 0) this.scheduleResume(delayMs);
  }
}

interface PacerCallbacks {
  /** Returns the number of the turn. */
  readonly beginTurn: () => number;
  readonly pause: (reader: PacedReader) => void;
  readonly remove: (reader: PacedReader) => void;
}

/** One reader of a `ReadPacer`. */
export class PacedReader {
  /** Pieces in the last turn in which it had some. */
  pieces = 0;
  private turn = 0;
  private isPaused = false;

  constructor(
    private readonly source: PausableSource | undefined,
    private readonly pacer: PacerCallbacks,
  ) {}

  /** Counts pieces, or lines within a piece. */
  record(count: number): void {
    const turn = this.pacer.beginTurn();
    if (turn !== this.turn) this.pieces = 0;
    this.turn = turn;
    this.pieces += count;
    if (this.isPaused || !this.source || this.pieces <= maxReaderPieces) return;
    this.isPaused = true;
    this.pacer.pause(this);
    this.source.pause();
  }

  /** Called by the pacer at the end of a pause. */
  resume(): void {
    this.isPaused = false;
    this.source?.resume();
  }

  /** Ends the counting; the source isn't resumed any more. */
  close(): void {
    this.pacer.remove(this);
  }
}
