/** Splits a `text/event-stream` body into whole events. */
import {err, ok, type Result} from 'neverthrow';
import {AnvilstallError} from '../protocol/errors.js';

/** An event that is longer than a stream may send. */
export class LongEventError extends AnvilstallError {}

/** One event with the empty line that ends it. */
export interface StreamEvent {
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = Buffer.from('id:');

/**
 * Holds back an event until its last byte is there, so that a broken stream
 * can be resumed after the last whole event.
 *
 * @example
 * splitter.split(chunk).map(events => events.forEach(e => response.write(e.bytes)));
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** @param maxEventBytes - bytes of an event that isn't whole yet */
  constructor(private readonly maxEventBytes = Infinity) {}

  /** Bytes of an event that isn't whole yet. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /**
   * Adds bytes and returns the events that they complete; an error for an event
   * that is too long.
   */
  split(chunk: Buffer): Result<StreamEvent[], LongEventError> {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    let eventStart = 0;
    let lineStart = 0;
    let id: number | undefined;
    for (;;) {
      const lineEnd = bytes.indexOf(lineFeed, lineStart);
      if (lineEnd < 0) break;
      const next = lineEnd + 1;
      if (isBlank(bytes, lineStart, lineEnd)) {
        events.push({id, bytes: bytes.subarray(eventStart, next)});
        eventStart = next;
        id = undefined;
      } else {
        id = readId(bytes, lineStart, lineEnd) ?? id;
      }
      lineStart = next;
    }
    this.rest = bytes.subarray(eventStart);
    return this.rest.length > this.maxEventBytes
      ? err(new LongEventError(`event above ${this.maxEventBytes} bytes`))
      : ok(events);
  }
}

function isBlank(bytes: Buffer, start: number, end: number): boolean {
  return (
    end === start || (end === start + 1 && bytes[start] === carriageReturn)
  );
}

function readId(bytes: Buffer, start: number, end: number): number | undefined {
  const valueStart = start + idField.length;
  if (valueStart > end) return undefined;
  if (!bytes.subarray(start, valueStart).equals(idField)) return undefined;
  const id = Number(bytes.toString('latin1', valueStart, end).trim());
  return Number.isSafeInteger(id) ? id : undefined;
}
