/** Handling of errors that nothing in the process has caught. */
import {formatError, Log} from '../node/log.js';

/**
 * Logs errors that nothing has caught, and calls `stop` for each. Without this,
 * Node.js would end the process at once, and with it all requests in flight,
 * most of which the error doesn't concern.
 *
 * @param stop - finishes the requests in flight and ends the process, because
 * the error may have left it in an invalid state; ignores further calls
 * @example
 * handleUnexpectedErrors(() => {
 *   void daemon.stop().then(() => process.exit(ExitCode.Software));
 * });
 */
export function handleUnexpectedErrors(stop: () => void): void {
  const log = new Log({});
  process.on('uncaughtException', (error: unknown, origin) => {
    log.logError('unexpected error', {origin, error: formatError(error)});
    stop();
  });
}
