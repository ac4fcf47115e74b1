/** Pooled HTTP/1.1 connections to backend servers. */
import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';
import {
  connectTimeoutMs,
  recentIdleMs,
  ReusePolicy,
} from './connectionReuse.js';
import {formatProcess, type BackendServer} from './deployment.js';

/** Idle timeout where the server's `Keep-Alive` header states none. */
const idleTimeoutMs = 8_000;
/** Upper bound on the idle timeout that a server states. */
const maxIdleTimeoutMs = 60_000;
/** An idle connection is closed this long before its server would close it. */
const idleMarginMs = 1_000;
const connectSocket = buildConnector({
  timeout: connectTimeoutMs,
  // Keeps the socket writable after an end of file, so that the write in the
  // constructor below can detect a reset. undici closes the connection.
  allowHalfOpen: true,
});

/** Error codes of a connection that the other side has reset. */
const resetCodes = new Set(['EPIPE', 'ECONNRESET', 'ENOTCONN']);

/** Why nothing is read from a connection. */
export enum PauseReason {
  /** The caller takes no more bytes. */
  Caller,
  /** What is read takes too much processor time; see `ReadPacer`. */
  Pace,
}

/** One connection to a backend server; carries one request at a time. */
export class BackendConnection {
  /** Client that sends the requests; limited to this one connection. */
  readonly dispatcher: Client;
  /**
   * True once the connection has ended by a reset or before the whole request
   * was written. A close-delimited answer that ends with it is truncated.
   */
  isBroken = false;
  /** Milliseconds for which it was idle when it was taken; 0 for a new one. */
  idleMs = 0;
  /** `performance.now()` when it was opened; Infinity before that. */
  connectedAtMs = Infinity;
  /** `performance.now()` at the end of its last request. */
  private idleSinceMs: number | undefined;
  private socket: Socket | undefined;
  private readonly pauseReasons = new Set<PauseReason>();
  /** Listeners that read from the socket, while reading is paused. */
  private pausedReaders: Array<() => void> = [];

  constructor({host, port}: Pick<BackendServer, 'host' | 'port'>) {
    const markReset = (error: Error | null | undefined) => {
      const code = (error as NodeJS.ErrnoException | null | undefined)?.code;
      if (code === undefined || !resetCodes.has(code)) return;
      this.isBroken = true;
    };
    const handleEnd = (socket: Socket) => {
      // While an upload is waiting to be written, a server that has closed the
      // connection resets it, and the empty write would come behind the upload.
      if (socket.writableLength > 0) this.isBroken = true;
      // libuv reports a reset that arrives together with data as an end of
      // file; an empty write then fails and reveals the reset.
      else socket.write(Buffer.alloc(0), markReset);
    };
    this.dispatcher = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      connect: (options, callback) =>
        connectSocket(options, (...result) => {
          // Runs before undici's own handler, which treats a reset as the
          // regular end of a close-delimited answer.
          const socket = result[1];
          this.socket = socket ?? undefined;
          this.connectedAtMs = socket ? performance.now() : Infinity;
          this.isBroken = false;
          socket?.on('error', markReset);
          socket?.on('end', () => handleEnd(socket));
          callback(...result);
        }),
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: maxIdleTimeoutMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Milliseconds since the end of its last request; undefined while it is in
   * use or not connected.
   */
  measureIdleMs(): number | undefined {
    const {connected, size} = this.dispatcher.stats;
    if (this.idleSinceMs === undefined || !connected || size > 0) {
      return undefined;
    }
    return performance.now() - this.idleSinceMs;
  }

  /** Reserves the connection for one request, until `release`. */
  take(): void {
    this.idleMs = this.measureIdleMs() ?? 0;
    this.idleSinceMs = undefined;
  }

  /**
   * Stops reading, so that the server can send no more than the buffers hold.
   * undici's own pause doesn't do: it fails an assertion, outside of any handler,
   * when the connection of a paused answer ends that is the last one on it.
   */
  pauseReading(reason: PauseReason): void {
    const {socket} = this;
    if (!socket) return;
    this.pauseReasons.add(reason);
    if (this.pausedReaders.length > 0) return;
    this.pausedReaders = socket.listeners('readable') as Array<() => void>;
    for (const read of this.pausedReaders) socket.off('readable', read);
  }

  /**
   * Goes on reading once no reason to pause is left, also the end of a connection
   * that has ended meanwhile.
   */
  resumeReading(reason: PauseReason): void {
    this.pauseReasons.delete(reason);
    if (this.pauseReasons.size === 0) this.resumeReaders();
  }

  private resumeReaders(): void {
    const readers = this.pausedReaders;
    this.pausedReaders = [];
    for (const read of readers) this.socket?.on('readable', read);
  }

  /** Marks the end of the request. */
  release(): void {
    this.pauseReasons.clear();
    this.resumeReaders();
    this.idleSinceMs = performance.now();
  }
}

interface ServerConnections {
  /** Server process that the connections lead to; see `formatProcess`. */
  readonly process: string;
  readonly pool: Set<BackendConnection>;
}

/**
 * Connection pool of each backend server, shared by all requests because a new
 * connection is expensive.
 *
 * @example
 * const connection = connections.take(server, ReusePolicy.LeastRecentlyUsed);
 * connection.dispatcher.dispatch(request, handler); // and at the end:
 * connection.release();
 */
export class BackendConnections {
  private readonly servers = new Map<string, ServerConnections>();

  /** Takes an idle connection that the policy allows, or opens a new one. */
  take(server: BackendServer, reuse: ReusePolicy): BackendConnection {
    const {pool} = this.getConnections(server);
    const connection = chooseConnection(pool, reuse) ?? this.open(server, pool);
    connection.take();
    return connection;
  }

  /** Closes a server's connections once their requests have finished. */
  release(serverId: string): void {
    const connections = this.servers.get(serverId);
    if (!connections) return;
    this.servers.delete(serverId);
    const {pool} = connections;
    for (const connection of pool) closeConnection(connection, pool);
  }

  private getConnections(server: BackendServer): ServerConnections {
    const process = formatProcess(server);
    const known = this.servers.get(server.id);
    if (known?.process === process) return known;
    this.release(server.id);
    const connections = {process, pool: new Set<BackendConnection>()};
    this.servers.set(server.id, connections);
    return connections;
  }

  private open(
    server: BackendServer,
    pool: Set<BackendConnection>,
  ): BackendConnection {
    const connection = new BackendConnection(server);
    pool.add(connection);
    // A client that lost its connection would open another for its next
    // request, so it leaves the pool.
    const {dispatcher} = connection;
    dispatcher.on('disconnect', () => closeConnection(connection, pool));
    dispatcher.on('connectionError', () => closeConnection(connection, pool));
    return connection;
  }
}

/**
 * Closes a connection after its request in flight. A client can be closed only
 * once, hence the check that it is still in the pool.
 */
function closeConnection(
  connection: BackendConnection,
  pool: Set<BackendConnection>,
): void {
  if (pool.delete(connection)) void connection.dispatcher.close();
}

function chooseConnection(
  pool: Iterable<BackendConnection>,
  reuse: ReusePolicy,
): BackendConnection | undefined {
  const limitMs =
    reuse === ReusePolicy.OnlyRecentlyUsed ? recentIdleMs : Infinity;
  let best: {connection: BackendConnection; idleMs: number} | undefined;
  for (const connection of pool) {
    const idleMs = connection.measureIdleMs();
    if (idleMs === undefined || idleMs > limitMs) continue;
    const isBetter =
      best === undefined ||
      (reuse === ReusePolicy.LeastRecentlyUsed
        ? idleMs > best.idleMs
        : idleMs < best.idleMs);
    if (isBetter) best = {connection, idleMs};
  }
  return best?.connection;
}
