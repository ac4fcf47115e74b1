/**
 * Lasting speeds of backend servers, learned from the requests of all routers.
 *
 * Servers of one service may differ, for example by their hardware. Each router
 * sums up the work and the time of its requests by server process; the sums of
 * the fleet, of which the newest seconds count most, give each server's speed as
 * a multiple of the mean of its service. The speed of the moment isn't a part of
 * it: servers report their slowness, and samples are divided by that.
 */
import type {Log} from '../node/log.js';
import {DecayedSums} from './decayedSums.js';
import {
  estimateSpeed,
  scaleSample,
  type SpeedSample,
  type SpeedSums,
} from './speedEstimate.js';

/** A backend server; one object for each process. */
export interface SpeedServer {
  readonly id: string;
  readonly service: string;
}

export interface ServerSpeedsOptions<Server extends SpeedServer> {
  /**
   * Returns the servers of a service: the same array until one of them or its
   * process changes.
   */
  readonly listServers: (service: string) => readonly Server[];
  /** Returns the compact key of a server's process. */
  readonly computeKey: (server: Server) => number;
  /** Returns work and milliseconds of the whole fleet by process. */
  readonly listFleet: () => ReadonlyMap<number, readonly number[]>;
  readonly log: Pick<Log, 'logInfo'>;
}

/** What is known of the speed of a server. */
export interface ServerSpeedState {
  readonly id: string;
  /** Speed as a multiple of the mean of the service. */
  readonly speed: number;
  /** Time of the work in the sums of the fleet, in milliseconds. */
  readonly workMs: number;
  /** Time since the last sample of this router; undefined if it has none. */
  readonly ageMs?: number;
}

interface ServiceEstimates<Server> {
  readonly servers: readonly Server[];
  readonly computedAtMs: number;
  /** By server id. */
  readonly speeds: ReadonlyMap<string, number>;
}

/**
 * Estimates are computed at most once in this time, in milliseconds. The sums of
 * the fleet are up to 2.5 s old.
 */
const refreshIntervalMs = 250;
/** A server whose speed differs from the mean by this factor is logged. */
const minLoggedRatio = 1.5;
/**
 * A logged server has rejoined the mean below this factor, so that an estimate
 * near the other bound isn't logged again and again.
 */
const maxRejoinedRatio = 1.3;

const noSums: SpeedSums = {work: 0, ms: 0};

/**
 * Learns and estimates the speeds of backend servers.
 *
 * @example
 * speeds.record(server, {work: 4_000, workBefore: 0, ms: 180,
 *     expectedMs: 100, slowness: 1});
 * const expectedMs = work / (meanRate * speeds.getSpeed(server));
 */
export class ServerSpeeds<Server extends SpeedServer = SpeedServer> {
  private readonly ownSums = new DecayedSums();
  private readonly estimates = new Map<string, ServiceEstimates<Server>>();
  /** Processes that were logged as faster or slower than their services. */
  private readonly logged = new Set<number>();

  constructor(private readonly options: ServerSpeedsOptions<Server>) {}

  /** Records a request that a server has worked on. */
  record(server: Server, sample: SpeedSample): void {
    const {work, workBefore} = sample;
    const key = this.options.computeKey(server);
    const {work: workDone, ms} = getSums(this.options.listFleet(), key);
    const usualMs =
      workDone > 0 ? ((work + workBefore) * ms) / workDone : undefined;
    this.ownSums.add(key, scaleSample(sample, usualMs));
  }

  /** Lists the sums of this router for the sums of the fleet. */
  listOwn(): Array<[key: number, work: number, ms: number]> {
    return this.ownSums.listRows();
  }

  /**
   * Returns the speed of a server as a multiple of the mean of its service; 1
   * while nothing is known of it.
   */
  getSpeed({id, service}: SpeedServer): number {
    return this.refresh(service).speeds.get(id) ?? 1;
  }

  /**
   * Returns the speeds of a service's servers by id. For a choice among many
   * servers it costs less than `getSpeed`.
   */
  getSpeeds(service: string): ReadonlyMap<string, number> {
    return this.refresh(service).speeds;
  }

  /**
   * Describes the servers of a service that were measured lately, for metrics and
   * the state dump.
   */
  listStates(service: string): ServerSpeedState[] {
    const {speeds, servers} = this.refresh(service);
    const fleet = this.options.listFleet();
    return servers.flatMap(({id}, index) => {
      const key = this.options.computeKey(servers[index]);
      const {ms: workMs} = getSums(fleet, key);
      const ageMs = this.ownSums.measureAgeMs(key);
      if (workMs === 0 && ageMs === undefined) return [];
      return [{id, speed: truncateDigits(speeds.get(id) ?? 1), workMs, ageMs}];
    });
  }

  private refresh(service: string): ServiceEstimates<Server> {
    const nowMs = performance.now();
    const servers = this.options.listServers(service);
    const known = this.estimates.get(service);
    const isCurrent =
      known?.servers === servers &&
      nowMs - known.computedAtMs < refreshIntervalMs;
    if (isCurrent) return known;
    const estimates = this.compute(service, servers);
    this.estimates.set(service, estimates);
    return estimates;
  }

  private compute(
    service: string,
    servers: readonly Server[],
  ): ServiceEstimates<Server> {
    const fleet = this.options.listFleet();
    const known = servers.map(server => {
      const key = this.options.computeKey(server);
      return {id: server.id, key, sums: getSums(fleet, key)};
    });
    const total = known.reduce((sum, {sums}) => addSums(sum, sums), noSums);
    const speeds = new Map<string, number>();
    for (const {id, key, sums} of known) {
      const speed = estimateSpeed(sums, total);
      speeds.set(id, speed);
      this.logChange({id, service}, key, speed);
    }
    return {servers, computedAtMs: performance.now(), speeds};
  }

  private logChange(
    {id, service}: SpeedServer,
    key: number,
    speed: number,
  ): void {
    const ratio = Math.max(speed, 1 / speed);
    const isLogged = this.logged.has(key);
    if (isLogged ? ratio > maxRejoinedRatio : ratio <= minLoggedRatio) return;
    if (isLogged) this.logged.delete(key);
    else this.logged.add(key);
    const event = isLogged
      ? 'server speed is usual again'
      : 'server speed differs';
    this.options.log.logInfo(event, {
      server: id,
      service,
      speed: truncateDigits(speed),
    });
  }
}

/** Reduces a speed to the digits that people read. */
function truncateDigits(speed: number): number {
  return Math.round(speed * 100) / 100;
}

function getSums(
  fleet: ReadonlyMap<number, readonly number[]>,
  key: number,
): SpeedSums {
  const [work = 0, ms = 0] = fleet.get(key) ?? [];
  return {work, ms};
}

function addSums(first: SpeedSums, second: SpeedSums): SpeedSums {
  return {work: first.work + second.work, ms: first.ms + second.ms};
}
