/** Checks of the head of a request that don't depend on its route. */
import type {RawHeaders} from './messageCodec.js';

/** Bytes of a header besides its name and value, half for each of them. */
const separatorBytes = 2;

/**
 * Returns why a request with these headers is refused; undefined if it isn't.
 *
 * @example
 * checkHead(['host', 'a.example', 'host', 'b.example'], 8_192)
 * // 'more than one host'
 */
export function checkHead(
  headers: RawHeaders,
  maxBytes: number,
): string | undefined {
  const bytes = headers.reduce(
    (sum, text) => sum + text.length + separatorBytes,
    0,
  );
  if (bytes > maxBytes) return `head is longer than ${maxBytes} bytes`;
  const hosts = headers.filter(
    (text, index) => index % 2 === 0 && text.toLowerCase() === 'host',
  );
  // Required by RFC 9112, section 3.2. It couldn't be sent to any server.
  return hosts.length > 1 ? 'more than one host' : undefined;
}
