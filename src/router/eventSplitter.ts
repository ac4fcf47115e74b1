/** Splits a `text/event-stream` body into complete events. */
import {err, ok, type Result} from 'neverthrow';
import {InputLimit, InputLimitError, type Input} from '../input/inputMeter.js';

/** One event, including the empty line that ends it. */
export interface StreamEvent {
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const idField = Buffer.from('id:');
/**
 * Events without a field that may come between two events with one. A server that
 * keeps a connection alive sends one in some seconds.
 */
const maxEmptyEvents = 65_536;

/**
 * Buffers an event until its last byte has arrived, so that a broken stream
 * can be resumed after the last complete event. Each byte is looked at once, in
 * whatever pieces it arrives.
 *
 * @example
 * splitter.split(chunk).map(events =>
 *   events.forEach(event => response.write(event.bytes)),
 * );
 */
export class EventSplitter {
  /** Lines that were found, for the count of processor time. */
  lineCount = 0;
  /** Position of the first byte that hasn't been searched, in the input. */
  private searchedTo = 0;
  private lineStart = 0;
  /** Id of the incomplete event. */
  private id: number | undefined;
  /** True once the incomplete event has a field. */
  private hasField = false;
  private emptyEvents = 0;

  /** @param pending - keeps the bytes of an incomplete event */
  constructor(private readonly pending: Input) {}

  /** Buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /**
   * Adds bytes and returns the events that they complete, or an error when the
   * incomplete event exceeds a limit. Events without a field are returned together,
   * or with the event that follows them. The bytes are valid until the input changes.
   */
  split(chunk: Buffer): Result<StreamEvent[], InputLimitError> {
    if (this.pending.length === 0) return this.findEvents(chunk);
    const appended = this.pending.append(chunk);
    if (appended.isErr()) return err(appended.error);
    return chunk.includes(lineFeed)
      ? this.findEvents(this.pending.bytes)
      : this.skip();
  }

  private skip(): Result<StreamEvent[], InputLimitError> {
    this.searchedTo = this.pending.length;
    return ok([]);
  }

  /** Finds the events in all bytes that wait. */
  private findEvents(bytes: Buffer): Result<StreamEvent[], InputLimitError> {
    const events: StreamEvent[] = [];
    let eventStart = 0;
    let emptyEnd = 0;
    for (;;) {
      const lineEnd = bytes.indexOf(lineFeed, this.searchedTo);
      if (lineEnd < 0) break;
      const next = lineEnd + 1;
      this.lineCount += 1;
      if (!isBlank(bytes, this.lineStart, lineEnd)) {
        this.hasField ||= bytes[this.lineStart] !== colon;
        this.id = readId(bytes, this.lineStart, lineEnd) ?? this.id;
      } else if (this.hasField) {
        events.push({id: this.id, bytes: bytes.subarray(eventStart, next)});
        eventStart = next;
        this.id = undefined;
        this.hasField = false;
        this.emptyEvents = 0;
      } else {
        this.emptyEvents += 1;
        emptyEnd = next;
      }
      this.lineStart = next;
      this.searchedTo = next;
    }
    if (this.emptyEvents > maxEmptyEvents) {
      const message = `more than ${maxEmptyEvents} events without a field`;
      return err(new InputLimitError(InputLimit.Length, message));
    }
    if (emptyEnd > eventStart) {
      events.push({id: undefined, bytes: bytes.subarray(eventStart, emptyEnd)});
      eventStart = emptyEnd;
    }
    return this.retainRest(bytes, eventStart).map(() => events);
  }

  /** Keeps the bytes of the incomplete event. */
  private retainRest(
    bytes: Buffer,
    eventStart: number,
  ): Result<void, InputLimitError> {
    this.lineStart -= eventStart;
    this.searchedTo = bytes.length - eventStart;
    const isKept = this.pending.length > 0 && eventStart === 0;
    if (isKept) return ok();
    this.pending.take();
    const rest = bytes.subarray(eventStart);
    return rest.length > 0 ? this.pending.append(rest) : ok();
  }
}

function isBlank(bytes: Buffer, start: number, end: number): boolean {
  return (
    end === start || (end === start + 1 && bytes[start] === carriageReturn)
  );
}

function readId(bytes: Buffer, start: number, end: number): number | undefined {
  if (bytes[start] !== idField[0]) return undefined;
  const valueStart = start + idField.length;
  if (valueStart > end) return undefined;
  if (!bytes.subarray(start, valueStart).equals(idField)) return undefined;
  const id = Number(bytes.toString('latin1', valueStart, end).trim());
  return Number.isSafeInteger(id) ? id : undefined;
}
