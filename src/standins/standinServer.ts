/** HTTP server of the stand-ins that can inject connection faults. */
import http from 'node:http';
import type net from 'node:net';
import {createAdaptorServer} from '@hono/node-server';
import type {Context, Hono} from 'hono';

/** Hono environment that exposes Node's request and response to handlers. */
export interface StandinEnv {
  Bindings: {incoming: http.IncomingMessage; outgoing: http.ServerResponse};
}

/** Which connections are kept open without sending anything more. */
export enum SilenceScope {
  None = 'none',
  /** Connections that are open now; later ones work. */
  Existing = 'existing',
  /** Connections that are open now and all later ones. */
  All = 'all',
}

/** Interval between attempts to listen on the port again. */
const listenRetryMs = 100;

/** Socket methods that send data, close it, or close it when idle. */
const silencedMethods = ['write', 'end', 'destroySoon', 'setTimeout'] as const;

export interface StandinServerOptions {
  host: string;
  /** 0 lets the operating system choose a free port. */
  port: number;
  app: Hono<StandinEnv>;
}

/** Listens on one address, and can stop and resume listening on its port. */
export class StandinServer {
  /** Port of the server; fixed once it listens. */
  port: number;
  private readonly server: http.Server;
  private readonly sockets = new Set<net.Socket>();
  private readonly exemptSockets = new WeakSet<net.Socket>();
  private silencesNewSockets = false;
  private stopped = false;
  private reopenTimer: NodeJS.Timeout | undefined;

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

  /**
   * Destroys all connections and refuses new ones for a time, then listens on
   * the same port again.
   *
   * @param onListening - called once connections are accepted again
   */
  async refuseFor(ms: number, onListening: () => void): Promise<void> {
    await this.refuse();
    if (this.stopped) return;
    this.reopenTimer = setTimeout(() => void this.tryOpen(onListening), ms);
  }

  /** Destroys all connections and stops listening permanently. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.reopenTimer);
    await this.refuse();
  }

  /**
   * Stops sending on the connections of a scope. A silenced connection stays
   * silent, also when the scope changes later.
   */
  setSilence(scope: SilenceScope): void {
    this.silencesNewSockets = scope === SilenceScope.All;
    if (scope === SilenceScope.None) return;
    for (const socket of this.sockets) this.dropOutput(socket);
  }

  /** Exempts the connection of a control request from silence. */
  allowControl(socket: net.Socket): void {
    this.exemptSockets.add(socket);
    for (const name of silencedMethods) Reflect.deleteProperty(socket, name);
  }

  private async open(): Promise<void> {
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

  private async tryOpen(onListening: () => void): Promise<void> {
    try {
      await this.open();
    } catch {
      // Another process may have bound the port in the meantime.
      const retry = () => void this.tryOpen(onListening);
      this.reopenTimer = setTimeout(retry, listenRetryMs);
      return;
    }
    onListening();
  }

  /** Destroys all connections and refuses new ones. */
  private async refuse(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  private addSocket(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    if (this.silencesNewSockets) this.dropOutput(socket);
  }

  /** Makes the sending methods drop their data; reading continues. */
  private dropOutput(socket: net.Socket): void {
    if (this.exemptSockets.has(socket)) return;
    const dropWrite = (...values: unknown[]): boolean => {
      const callback = values.at(-1);
      if (typeof callback === 'function') process.nextTick(callback);
      return true;
    };
    for (const name of silencedMethods) {
      Object.assign(socket, {[name]: dropWrite});
    }
    // Node calls `end` when the client closes its side. As `end` is replaced,
    // the socket would otherwise stay open.
    socket.once('end', () => socket.destroy());
  }
}

/** Reads a JSON body; returns undefined if it is malformed. */
export async function readJson(context: Context): Promise<unknown> {
  return context.req.json().catch(() => undefined);
}
