/** A TCP server whose responses and disconnections a test scripts. */
import net from 'node:net';
import type {AddressInfo} from 'node:net';

export type ConnectionScript = (socket: net.Socket, request: string) => void;

/** Calls the script for each complete request. */
export class RawServer {
  /** Complete requests in order of arrival. */
  readonly requests: string[] = [];
  private readonly sockets = new Set<net.Socket>();

  private constructor(private readonly server: net.Server) {}

  /** Listens on a loopback port, by default a free one. */
  static async start(script: ConnectionScript, port = 0): Promise<RawServer> {
    const server = net.createServer();
    const raw = new RawServer(server);
    server.on('connection', socket => raw.serveConnection(socket, script));
    await new Promise<void>(resolve =>
      server.listen(port, '127.0.0.1', () => resolve()),
    );
    return raw;
  }

  /** Address of the server as `ip:port`. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes all connections; later ones are refused. */
  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private serveConnection(socket: net.Socket, script: ConnectionScript): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', data => {
      text += data.toString('latin1');
      const headEnd = text.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const length = /content-length: (\d+)/i.exec(text)?.[1] ?? '0';
      if (text.length < headEnd + 4 + Number(length)) return;
      this.requests.push(text);
      script(socket, text);
      text = '';
    });
  }
}

/** Formats a complete response with a content-length header. */
export function formatAnswer(body: string, headers = ''): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${headers}\r\n${body}`;
}
