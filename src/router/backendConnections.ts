/** Connections to backend servers. */
import {buildConnector, Client} from 'undici';
import {connectDeadlineMs, freshForMs, Reuse} from './connectionReuse.js';
import {formatProcess, type BackendServer} from './deployment.js';

/** Idle time of a connection whose server states none, in milliseconds. */
const idleTimeoutMs = 8_000;
/** Longest idle time that a server's word is taken for, in milliseconds. */
const maxIdleTimeoutMs = 60_000;
/** A connection is closed so long before its server would close it. */
const idleMarginMs = 1_000;
const connect = buildConnector({
  timeout: connectDeadlineMs,
  // Lets the write after an end find out about a reset; undici closes the
  // connection.
  allowHalfOpen: true,
});

/** Codes of a connection that the other side has reset. */
const resetCodes = new Set(['EPIPE', 'ECONNRESET', 'ENOTCONN']);

/** One connection of a request to a backend server. */
export class BackendConnection {
  /** Where requests go; one at a time. */
  readonly dispatcher: Client;
  /**
   * True while the reset of the connection is being handled. An answer without
   * a length that ends then was cut off.
   */
  isResetting = false;
  /** Time for which it had rested when it was taken; 0 for a new one. */
  restedMs = 0;
  /** `performance.now()` at the end of its last request. */
  private freeSinceMs: number | undefined;

  constructor({host, port}: Pick<BackendServer, 'host' | 'port'>) {
    const noteReset = (error: Error | null | undefined) => {
      const code = (error as NodeJS.ErrnoException | null | undefined)?.code;
      if (code === undefined || !resetCodes.has(code)) return;
      this.isResetting = true;
      setTimeout(() => (this.isResetting = false), 1);
    };
    this.dispatcher = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          // Runs before undici's own handler, which takes a reset for the end
          // of an answer without a length.
          const socket = result[1];
          socket?.on('error', noteReset);
          // libuv reports a reset that comes together with data as an end of
          // file; writing nothing then fails.
          socket?.on('end', () => socket.write(Buffer.alloc(0), noteReset));
          callback(...result);
        }),
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: maxIdleTimeoutMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Time since the end of its last request; undefined while it is in use. */
  measureRestMs(): number | undefined {
    const {connected, size} = this.dispatcher.stats;
    if (this.freeSinceMs === undefined || !connected || size > 0) {
      return undefined;
    }
    return performance.now() - this.freeSinceMs;
  }

  /** Keeps it for one request, until `release`. */
  take(): void {
    this.restedMs = this.measureRestMs() ?? 0;
    this.freeSinceMs = undefined;
  }

  /** The request has ended. */
  release(): void {
    this.freeSinceMs = performance.now();
  }
}

interface ServerConnections {
  /** The process that the connections lead to. */
  readonly process: string;
  readonly kept: Set<BackendConnection>;
}

/**
 * Keeps the connections of each backend server, all requests together, because
 * a new one is dear.
 *
 * @example
 * const connection = connections.take(server, Reuse.Oldest);
 * connection.dispatcher.dispatch(request, handler); // and at the end:
 * connection.release();
 */
export class BackendConnections {
  private readonly servers = new Map<string, ServerConnections>();

  /** Takes a connection for one request. */
  take(server: BackendServer, reuse: Reuse): BackendConnection {
    const {kept} = this.getConnections(server);
    const connection = choose(kept, reuse) ?? this.open(server, kept);
    connection.take();
    return connection;
  }

  /** Closes idle connections; requests in progress go on. */
  release(serverId: string): void {
    const connections = this.servers.get(serverId);
    if (!connections) return;
    this.servers.delete(serverId);
    const {kept} = connections;
    for (const connection of kept) close(connection, kept);
  }

  private getConnections(server: BackendServer): ServerConnections {
    const process = formatProcess(server);
    const known = this.servers.get(server.id);
    if (known?.process === process) return known;
    this.release(server.id);
    const connections = {process, kept: new Set<BackendConnection>()};
    this.servers.set(server.id, connections);
    return connections;
  }

  private open(
    server: BackendServer,
    kept: Set<BackendConnection>,
  ): BackendConnection {
    const connection = new BackendConnection(server);
    kept.add(connection);
    // A client without a connection would open one for its next request.
    const {dispatcher} = connection;
    dispatcher.on('disconnect', () => close(connection, kept));
    dispatcher.on('connectionError', () => close(connection, kept));
    return connection;
  }
}

/** Lets its request end; a client can be closed only once. */
function close(
  connection: BackendConnection,
  kept: Set<BackendConnection>,
): void {
  if (kept.delete(connection)) void connection.dispatcher.close();
}

function choose(
  kept: Iterable<BackendConnection>,
  reuse: Reuse,
): BackendConnection | undefined {
  const limitMs = reuse === Reuse.Fresh ? freshForMs : Infinity;
  let best: {connection: BackendConnection; restedMs: number} | undefined;
  for (const connection of kept) {
    const restedMs = connection.measureRestMs();
    if (restedMs === undefined || restedMs > limitMs) continue;
    const isBetter =
      best === undefined ||
      (reuse === Reuse.Oldest
        ? restedMs > best.restedMs
        : restedMs < best.restedMs);
    if (isBetter) best = {connection, restedMs};
  }
  return best?.connection;
}
