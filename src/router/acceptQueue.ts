/**
 * Measures how long callers' connections wait to be accepted. libuv accepts one
 * connection in each iteration of the event loop, so that they wait while
 * iterations are long, although no timer is late. The system doesn't tell how
 * old an accepted connection is. So while each iteration accepts one, the
 * router opens connections of its own to the same address, called markers. The
 * queue is first in, first out: what is accepted before a marker has waited at
 * least as long as the marker.
 */
import net, {type Socket} from 'node:net';

/**
 * Time for which each iteration must have accepted a connection before the
 * first marker is opened, in milliseconds. No connection has waited longer
 * before; targets are several times as long.
 */
const minStreakMs = 50;
/**
 * Interval between markers in milliseconds, which is also the error of the
 * measured wait. Each marker takes the place of a caller's connection.
 */
const markerIntervalMs = 50;

/**
 * Limit of the markers that wait to be accepted. Callers have given up before
 * that many intervals have passed.
 */
const maxMarkers = 40;

interface Accepted {
  readonly waitMs: number;
  readonly iteration: number;
}

/** A connection of the router's own. */
interface Marker {
  readonly socket: Socket;
  /** When its handshake was complete; undefined before. */
  joinedAtMs: number | undefined;
}

export interface AcceptCounts {
  readonly accepts: number;
  /** Longest measured wait of a connection, in milliseconds. */
  readonly maxWaitMs: number;
}

/**
 * Measures the wait of the connections of one server.
 *
 * @example
 * server.on('connection', socket => {
 *   if (!acceptQueue.recordAccept(socket)) socket.destroy();
 * });
 * server.on('request', ({socket}) => acceptQueue.takeWaitMs(socket));
 */
export class AcceptQueue {
  private endpoint: {readonly host: string; readonly port: number} | undefined;
  /** Markers that have not been accepted, the oldest first. */
  private readonly markers = new Set<Marker>();
  private readonly accepted = new WeakMap<Socket, Accepted>();
  /** Counts the iterations of the event loop that follow an accept. */
  private iteration = 0;
  private isCheckScheduled = false;
  private hasAccepted = false;
  /** Since when each iteration has accepted a connection. */
  private streakStartedAtMs: number | undefined;
  private markedAtMs = -Infinity;
  private accepts = 0;
  private maxWaitMs = 0;

  /** Starts to measure, once the server listens. */
  start(host: string, port: number): void {
    this.endpoint = {host, port};
  }

  /** Closes the markers and opens no more. */
  stop(): void {
    this.endpoint = undefined;
    for (const {socket} of this.markers) socket.destroy();
    this.markers.clear();
  }

  /**
   * Records an accepted connection. False for a marker, which is to be closed.
   */
  recordAccept(socket: Socket): boolean {
    this.hasAccepted = true;
    this.streakStartedAtMs ??= performance.now();
    this.ensureCheck();
    if (this.removeMarker(socket)) return false;
    const waitMs = this.measureWaitMs();
    this.accepts += 1;
    this.maxWaitMs = Math.max(this.maxWaitMs, waitMs);
    this.accepted.set(socket, {waitMs, iteration: this.iteration});
    return true;
  }

  /**
   * Returns the time for which a request that is being read waited at least
   * until its connection was accepted, in milliseconds. It is 0 unless this is
   * the first request and was there when the connection was accepted, so that
   * the next poll read it.
   */
  takeWaitMs(socket: Socket): number {
    const accepted = this.accepted.get(socket);
    if (!accepted) return 0;
    this.accepted.delete(socket);
    return this.iteration - accepted.iteration <= 1 ? accepted.waitMs : 0;
  }

  /**
   * Time for which each iteration has accepted a connection, in milliseconds:
   * connections come in at least as fast as the router accepts them.
   */
  measureStreakMs(): number {
    return performance.now() - (this.streakStartedAtMs ?? performance.now());
  }

  /** Time for which the next connection has waited at least, in milliseconds. */
  measureWaitMs(): number {
    for (const {joinedAtMs} of this.markers) {
      if (joinedAtMs !== undefined) return performance.now() - joinedAtMs;
    }
    return 0;
  }

  /** Returns what was counted since the last call. */
  takeCounts(): AcceptCounts {
    const {accepts, maxWaitMs} = this;
    this.accepts = 0;
    this.maxWaitMs = 0;
    return {accepts, maxWaitMs};
  }

  /** Makes a check run once the events of this poll have been handled. */
  private ensureCheck(): void {
    if (this.isCheckScheduled) return;
    this.isCheckScheduled = true;
    setImmediate(() => this.checkIteration());
  }

  private checkIteration(): void {
    this.isCheckScheduled = false;
    this.iteration += 1;
    if (!this.hasAccepted) {
      this.streakStartedAtMs = undefined;
      return;
    }
    this.hasAccepted = false;
    this.ensureCheck();
    const nowMs = performance.now();
    if (nowMs - this.streakStartedAtMs! < minStreakMs) return;
    if (nowMs - this.markedAtMs < markerIntervalMs) return;
    if (this.markers.size >= maxMarkers) return;
    this.markedAtMs = nowMs;
    this.addMarker();
  }

  private addMarker(): void {
    if (!this.endpoint) return;
    const {host, port} = this.endpoint;
    const socket = net.connect({host, port, localAddress: host});
    const marker: Marker = {socket, joinedAtMs: undefined};
    this.markers.add(marker);
    socket.on('connect', () => (marker.joinedAtMs = performance.now()));
    socket.on('error', () => undefined).resume();
    socket.on('close', () => this.markers.delete(marker));
  }

  private removeMarker({remotePort, remoteAddress}: Socket): boolean {
    for (const marker of this.markers) {
      const {localPort, localAddress} = marker.socket;
      if (localPort !== remotePort || localAddress !== remoteAddress) continue;
      return this.markers.delete(marker);
    }
    return false;
  }
}
