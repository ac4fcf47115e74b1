/** A caller on a plain socket, for requests that no HTTP client would send. */
import net from 'node:net';

/** Sends bytes on one connection and keeps what comes back. */
export class RawCaller {
  /** All bytes that were received. */
  text = '';
  /** When the connection ended; undefined while it is open. */
  endedAtMs: number | undefined;
  /** Code of the error that ended the connection, such as `ECONNRESET`. */
  errorCode: string | undefined;
  readonly ended: Promise<void>;

  private constructor(readonly socket: net.Socket) {
    socket.setEncoding('latin1');
    socket.on('data', data => (this.text += String(data)));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.errorCode = error.code;
    });
    this.ended = new Promise(resolve =>
      socket.once('close', () => {
        this.endedAtMs = performance.now();
        resolve();
      }),
    );
  }

  /** Connects to an address of the form `ip:port`. */
  static async open(address: string): Promise<RawCaller> {
    const [host, port] = address.split(':');
    const socket = net.connect(Number(port), host);
    socket.setNoDelay(true);
    const caller = new RawCaller(socket);
    await new Promise(resolve => socket.once('connect', resolve));
    return caller;
  }

  /** Sends bytes; they are handed to the kernel before this returns. */
  send(text: string): void {
    this.socket.write(text, 'latin1');
  }

  /** Statuses of the answers that were received. */
  get statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) =>
      Number(status),
    );
  }

  /** Waits until this many answers have begun. */
  async waitAnswers(count: number): Promise<void> {
    while (this.statuses.length < count) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }
}
