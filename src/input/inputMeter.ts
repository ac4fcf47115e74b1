/**
 * What received bytes cost this process in memory and processor time, whoever
 * sent them. All readers of bytes ask it.
 *
 * Promise: the bytes that wait for the rest of their answer, event, upload or
 * document take at most `maxHeldBytes`, in whatever pieces they arrive; readers of
 * many small pieces get at most half of the processor's time (`readPacer.ts`).
 *
 * When the memory is used up, the input that holds the most is ended. Input
 * without end comes to that first, and smaller input isn't affected.
 */
import {err, ok, type Result} from 'neverthrow';
import {AnvilstallError} from '../protocol/errors.js';
import {InputBuffer} from './inputBuffer.js';
import {ReadPacer, type PacedReader, type PausableSource} from './readPacer.js';

/**
 * Part of the memory that one input may take. A buffer that grows takes up to twice
 * its length.
 */
const maxInputRatio = 1 / 4;

export enum InputLimit {
  /** One input is longer than its reader allows. */
  Length = 'length',
  /** All input together takes more memory than the process has for it. */
  Memory = 'memory',
}

/** Input was ended because it costs too much. */
export class InputLimitError extends AnvilstallError {
  constructor(
    readonly limit: InputLimit,
    message: string,
  ) {
    super(message);
  }
}

export interface InputOptions {
  /** Bytes that may be held at a time. */
  readonly maxBytes?: number;
  /** Present if the source can be paused. */
  readonly source?: PausableSource;
  /** Called when the input is ended because it holds the most. */
  readonly evict?: (error: InputLimitError) => void;
}

/**
 * Counts the input of this process.
 *
 * @example
 * const meter = new InputMeter(64_000_000);
 * const input = meter.open({maxBytes: 4_194_304});
 * stream.on('data', piece => input.append(piece).mapErr(stop));
 */
export class InputMeter {
  /** Inputs that were ended for lack of memory since the start. */
  evictions = 0;
  /** Memory that all inputs take, in bytes. */
  heldBytes = 0;
  readonly pacer = new ReadPacer();
  private readonly inputs = new Set<Input>();

  /** @param maxHeldBytes - memory for all inputs together */
  constructor(readonly maxHeldBytes = Infinity) {}

  /** Bytes of the longest answer, event or document. */
  get maxInputBytes(): number {
    return this.maxHeldBytes * maxInputRatio;
  }

  /** Begins an input; its memory counts until `close`. */
  open(options: InputOptions = {}): Input {
    return new Input(options, this.pacer.add(options.source), {
      hold: (input, addedBytes) => this.hold(input, addedBytes),
    });
  }

  private hold(input: Input, addedBytes: number): void {
    this.heldBytes += addedBytes;
    if (input.capacity > 0) this.inputs.add(input);
    else this.inputs.delete(input);
    if (addedBytes <= 0) return;
    while (this.heldBytes > this.maxHeldBytes) this.evictLargest();
  }

  private evictLargest(): void {
    const [largest] = [...this.inputs].sort((a, b) => b.capacity - a.capacity);
    this.evictions += 1;
    largest.evict();
  }
}

interface MeterCallbacks {
  /** Counts memory that an input takes from now on, or less than before. */
  readonly hold: (input: Input, addedBytes: number) => void;
}

/** Input from one source, of which the bytes that still wait are kept. */
export class Input {
  private readonly buffer = new InputBuffer();
  /** Set once the input was ended for lack of memory. */
  private evictedBy: InputLimitError | undefined;

  constructor(
    private readonly options: InputOptions,
    private readonly reader: PacedReader,
    private readonly meter: MeterCallbacks,
  ) {}

  get length(): number {
    return this.buffer.length;
  }

  /** Memory that it takes, in bytes. */
  get capacity(): number {
    return this.buffer.capacity;
  }

  /** The bytes until the next change; not a copy. */
  get bytes(): Buffer {
    return this.buffer.bytes;
  }

  /** Keeps a piece, unless a limit ends the input. */
  append(piece: Uint8Array): Result<void, InputLimitError> {
    if (this.evictedBy) return err(this.evictedBy);
    const {maxBytes = Infinity} = this.options;
    if (this.length + piece.length > maxBytes) {
      const message = `longer than ${maxBytes} bytes`;
      return err(new InputLimitError(InputLimit.Length, message));
    }
    const before = this.capacity;
    this.buffer.append(piece);
    this.countSince(before);
    return this.evictedBy ? err(this.evictedBy) : ok();
  }

  /** Counts the processor time of pieces, or of lines within a piece. */
  recordPieces(count: number): void {
    this.reader.record(count);
  }

  /** Returns the bytes and begins anew. */
  take(): Buffer {
    const before = this.capacity;
    const bytes = this.buffer.take();
    this.countSince(before);
    return bytes;
  }

  /** Ends the input and releases its memory. */
  close(): void {
    this.reader.close();
    this.take();
  }

  /** Called by the meter; see `InputOptions.evict`. */
  evict(): void {
    const message = `no memory left for ${this.length} bytes and more`;
    this.evictedBy = new InputLimitError(InputLimit.Memory, message);
    this.close();
    this.options.evict?.(this.evictedBy);
  }

  private countSince(capacityBefore: number): void {
    const addedBytes = this.capacity - capacityBefore;
    if (addedBytes !== 0) this.meter.hold(this, addedBytes);
  }
}
