/** Opens connections to plain services before anything is written. */
import net from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {ConnectError} from '../protocol/errors.js';

/**
 * Opens a connection; a failure proves that no byte was sent.
 *
 * @example
 * const socket = await openConnection('10.0.0.7:8080', 1_000, signal);
 */
export function openConnection(
  address: string,
  deadlineMs: number,
  signal: AbortSignal,
): Promise<Result<net.Socket, ConnectError>> {
  const {hostname, port} = new URL(`http://${address}`);
  const host = hostname.replace(/^\[|\]$/g, '');
  return new Promise(resolve => {
    // URL leaves out the port when it is the default one.
    const socket = net.connect({host, port: Number(port || 80)});
    const finish = (problem?: string, cause?: unknown) => {
      clearTimeout(timer);
      signal.removeEventListener('abort', abort);
      socket.removeListener('error', fail);
      if (problem === undefined) return resolve(ok(socket));
      socket.destroy();
      socket.on('error', () => undefined);
      resolve(err(new ConnectError(`${address}: ${problem}`, {cause})));
    };
    const fail = (cause: Error) => finish(cause.message, cause);
    const abort = () => finish('the call was cancelled');
    const timer = setTimeout(
      () => finish(`no connection within ${deadlineMs} ms`),
      deadlineMs,
    );
    signal.addEventListener('abort', abort, {once: true});
    socket.once('error', fail);
    socket.once('connect', () => finish());
    if (signal.aborted) abort();
  });
}
