/** Shutdown of an HTTP server without losing requests in transit. */
import net from 'node:net';

/**
 * Time for requests to arrive that are in transit on keep-alive connections
 * when a server stops listening; far above a round trip.
 */
export const arrivalTimeMs = 200;

/**
 * Stops accepting connections; resolves when the last one has closed. The
 * `close` method of an HTTP server would also close idle keep-alive connections
 * at once, and so reset those on which a request is in transit.
 *
 * @example
 * const closed = stopListening(server);
 * await waitFor(arrivalTimeMs);
 * server.closeIdleConnections();
 * await closed;
 */
export function stopListening(server: net.Server): Promise<void> {
  return new Promise(resolve =>
    net.Server.prototype.close.call(server, () => resolve()),
  );
}
