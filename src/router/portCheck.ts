/** Tells whether a process still listens at the address of a server. */
import net from 'node:net';

/** Time within which a server in the fleet's network answers, in milliseconds. */
const timeoutMs = 500;

/** Address of a server. */
export interface ServerAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Opens a connection and closes it. True only if it was refused: a server that
 * doesn't answer may be cut off.
 *
 * @example
 * if (await isRefusing(server)) recordCrash();
 */
export function isRefusing({host, port}: ServerAddress): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect({host, port, timeout: timeoutMs});
    const settle = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => settle(false));
    socket.once('timeout', () => settle(false));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET'),
    );
  });
}
