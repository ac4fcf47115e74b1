/** HTTP listener of the stand-ins, with faults at the connection level. */
import http from 'node:http';
import type net from 'node:net';
import {createAdaptorServer, type HttpBindings} from '@hono/node-server';
import type {Hono} from 'hono';

/** Hono environment that gives handlers Node's request and response. */
export interface StandinEnv {
  Bindings: HttpBindings;
}

export interface StandinServerOptions {
  host: string;
  /** 0 lets the operating system choose; `port` returns the choice. */
  port: number;
  app: Hono<StandinEnv>;
}

/** Listens on one address; it can close and reopen the same port. */
export class StandinServer {
  /** Port that is listened on; the same after `open` is called again. */
  port: number;
  private readonly server: http.Server;
  private readonly sockets = new Set<net.Socket>();
  private stopped = false;

  private constructor(private readonly options: StandinServerOptions) {
    this.port = options.port;
    this.server = createAdaptorServer({
      fetch: options.app.fetch,
      createServer: http.createServer,
    }) as http.Server;
    this.server.on('connection', socket => this.addSocket(socket));
  }

  /** Starts to listen; rejects when the address can't be bound. */
  static async start(options: StandinServerOptions): Promise<StandinServer> {
    const server = new StandinServer(options);
    await server.open();
    return server;
  }

  /** Base URL without a trailing slash. */
  get url(): string {
    return `http://${this.options.host}:${this.port}`;
  }

  /** Listens again after `refuse`; does nothing after `stop`. */
  async open(): Promise<void> {
    if (this.stopped || this.server.listening) return;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.options.host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    this.port = (this.server.address() as net.AddressInfo).port;
  }

  /** Destroys all connections and refuses new ones. */
  async refuse(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  /** Refuses connections for good. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.refuse();
  }

  private addSocket(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }
}
