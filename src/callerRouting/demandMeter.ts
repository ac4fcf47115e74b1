/** Measures what callers ask of this router. */
import type {ZoneDemand} from './routerSizing.js';

/**
 * Connections that wait longer than this to be accepted show that the processor
 * is fully used, in milliseconds.
 */
const maxAcceptWaitMs = 50;
/** Time over which the demand is averaged, in milliseconds. */
const averagePeriodMs = 1_000;

/** The part of a socket that is needed. */
export interface CountingSocket {
  readonly bytesRead: number;
  readonly bytesWritten: number;
  once(event: 'close', listener: () => void): unknown;
}

/**
 * Counts the bytes of connections, without any work for each request.
 *
 * @example
 * server.on('connection', socket => traffic.add(socket));
 * traffic.countBytes();
 */
export class CallerTraffic {
  private readonly open = new Set<CountingSocket>();
  /** Bytes of connections that have closed. */
  private closedBytes = 0;

  add(socket: CountingSocket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytes += countSocketBytes(socket);
    });
  }

  /** Returns the bytes read and written since the start. */
  countBytes(): number {
    let bytes = this.closedBytes;
    for (const socket of this.open) bytes += countSocketBytes(socket);
    return bytes;
  }
}

function countSocketBytes({bytesRead, bytesWritten}: CountingSocket): number {
  return bytesRead + bytesWritten;
}

export interface DemandMeterOptions {
  readonly countBytes: () => number;
  readonly measureAcceptWaitMs: () => number;
  /** See `RouterCapacity`. */
  readonly processorShare: number;
}

interface Reading {
  readonly atMs: number;
  readonly bytes: number;
}

/**
 * Averages the traffic of callers and the use of the processor.
 *
 * @example
 * meter.sample(); // about twice a second
 * meter.demand.kbps;
 */
export class DemandMeter {
  private readings: Reading[] = [];
  private latest: ZoneDemand = {kbps: 0, milliCores: 0};

  constructor(private readonly options: DemandMeterOptions) {}

  /** Demand in about the last second. */
  get demand(): ZoneDemand {
    return this.latest;
  }

  /** Measures the demand since the readings before. */
  sample(): void {
    const reading = this.read();
    const oldest = this.readings.at(0);
    this.readings.push(reading);
    if (!oldest) return;
    while (reading.atMs - this.readings[1].atMs >= averagePeriodMs) {
      this.readings.shift();
    }
    const [base] = this.readings;
    this.latest = this.computeDemand(base, reading);
  }

  private read(): Reading {
    return {atMs: performance.now(), bytes: this.options.countBytes()};
  }

  /**
   * The processor counts only while connections wait to be accepted. Its use
   * alone doesn't show that more routers would serve callers better: each that
   * was added at a high use chose servers by a view of its own, and more
   * requests were late.
   */
  private computeDemand(from: Reading, to: Reading): ZoneDemand {
    const bytes = to.bytes - from.bytes;
    if (bytes <= 0 || to.atMs <= from.atMs) return {kbps: 0, milliCores: 0};
    const kbps = (bytes * 8) / (to.atMs - from.atMs);
    const {processorShare, measureAcceptWaitMs} = this.options;
    const isFull = measureAcceptWaitMs() > maxAcceptWaitMs;
    return {kbps, milliCores: isFull ? processorShare * 1_000 : 0};
  }
}
