/** Handlers of a dispatcher and a way to cut its connections, for tests. */
import net from 'node:net';
import type {
  DispatcherHandlers,
  MemberHandlers,
} from '../../src/protocol/peerRouter.js';
import {createDispatcherRouter} from '../../src/protocol/peerRouter.js';
import {PeerServer} from '../../src/node/peerServer.js';

export const peerKey = 'test-peer-key-0123456789abcdef';

/** Starts a dispatcher's peer server on a port that the system chooses. */
export async function startDispatcher(
  host: string,
  handlers: Partial<DispatcherHandlers>,
  members: Partial<MemberHandlers> = {},
  port = 0,
): Promise<PeerServer> {
  const router = createDispatcherRouter(
    members as MemberHandlers,
    handlers as DispatcherHandlers,
  );
  return PeerServer.start({host, port, peerKey, router});
}

/** Forwards TCP connections, and can let them go silent or cut them. */
export class TcpRelay {
  connections = 0;
  private silent = false;
  private readonly sockets = new Set<net.Socket>();

  private constructor(private readonly server: net.Server) {}

  /** Listens on a port that the system chooses. */
  static async start(host: string, targetPort: number): Promise<TcpRelay> {
    const server = net.createServer();
    const relay = new TcpRelay(server);
    server.on('connection', socket => relay.join(socket, host, targetPort));
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return relay;
  }

  getPort(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /** The connections that are open now pass on nothing any more. */
  pauseOpenConnections(): void {
    for (const socket of this.sockets) {
      socket.removeAllListeners('data');
      socket.resume();
    }
  }

  /** New connections are accepted but pass on nothing. */
  pauseNewConnections(silent: boolean): void {
    this.silent = silent;
  }

  dropConnections(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  async stop(): Promise<void> {
    this.dropConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private join(socket: net.Socket, host: string, targetPort: number): void {
    this.connections += 1;
    this.sockets.add(socket);
    socket.on('error', () => {});
    if (this.silent) return;
    const target = net.connect(targetPort, host);
    this.sockets.add(target);
    target.on('error', () => {});
    socket.on('data', chunk => target.write(chunk));
    target.on('data', chunk => socket.write(chunk));
    socket.on('close', () => target.destroy());
    target.on('close', () => socket.destroy());
  }
}
