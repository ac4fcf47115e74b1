/** Reads whole bodies. */
import {finished, type Readable} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import type {InputLimitError, InputMeter} from './inputMeter.js';

export interface ReceiveOptions {
  readonly maxBytes?: number;
  /**
   * False for bodies of undici: it fails an assertion, outside of any handler,
   * when the connection of a paused answer ends that is the last one on it.
   */
  readonly canPause: boolean;
}

/**
 * Reads a stream to its end. A limit ends the reading, but not the stream, so that
 * it can still be answered. Rejects if the stream fails or is closed before its end.
 *
 * @example
 * const body = await receiveBytes(incoming, meter, {maxBytes, canPause: true});
 */
export function receiveBytes(
  stream: Readable,
  meter: InputMeter,
  {maxBytes, canPause}: ReceiveOptions,
): Promise<Result<Buffer, InputLimitError>> {
  return new Promise((resolve, reject) => {
    const input = meter.open({
      maxBytes,
      source: canPause
        ? {pause: () => stream.pause(), resume: () => stream.resume()}
        : undefined,
      evict: error => settle(() => resolve(err(error))),
    });
    const append = (piece: Uint8Array) => {
      input.recordPieces(1);
      input.append(piece).mapErr(error => settle(() => resolve(err(error))));
    };
    const settle = (report: () => void) => {
      stream.off('data', append);
      stopWatching();
      input.close();
      report();
    };
    const stopWatching = finished(stream, {writable: false}, error =>
      error ? settle(() => reject(error)) : finish(),
    );
    const finish = () => {
      const bytes = input.take();
      settle(() => resolve(ok(bytes)));
    };
    stream.on('data', append);
  });
}

/**
 * Reads the text of a document, such as a configuration, to its end. Rejects if
 * a limit ends it, and closes the stream then.
 *
 * @example
 * const {body} = await request(url);
 * const text = await receiveDocument(body, meter);
 */
export async function receiveDocument(
  stream: Readable,
  meter: InputMeter,
): Promise<string> {
  const maxBytes = meter.maxInputBytes;
  const bytes = await receiveBytes(stream, meter, {maxBytes, canPause: false});
  if (bytes.isOk()) return bytes.value.toString('utf8');
  stream.on('error', () => undefined).destroy();
  throw bytes.error;
}
