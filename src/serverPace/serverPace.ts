/**
 * Paces the requests of this router to cold backend servers.
 *
 * `coldServers.ts` tells which servers are cold, `senderChoice.ts` which routers
 * may send to one, and `coldLimit.ts` how often. A request counts when it is
 * sent, whatever becomes of it.
 */
import {
  computeColdLimit,
  computeSendIntervalMs,
  type ColdLimit,
} from './coldLimit.js';
import {
  ColdCause,
  ColdServers,
  type ColdServersOptions,
  type Moment,
} from './coldServers.js';
import type {ColdServerBounds, ColdStart, PacedServer} from './pacedServer.js';
import type {EvidenceKind} from './restartEvidence.js';
import {SenderChoice, type SenderView} from './senderChoice.js';

/**
 * A router that has just started sends each server a request in this time, in
 * milliseconds, if all that it knows says that the server is warm.
 */
const startIntervalMs = 1_000;
/** Time for which the last request to a server that has left is remembered. */
const sendMemoryMs = 60_000;

export interface ServerPaceOptions extends Omit<
  ColdServersOptions,
  'hasContact'
> {
  /** Absent where operators set no bounds; servers are then never cold. */
  readonly bounds?: ColdServerBounds;
  readonly viewSenders: () => SenderView;
}

/** A cold server, for logs and dumps. */
export interface ColdServerState {
  readonly id: string;
  readonly cause: ColdCause;
  /** True if this router may send to it. */
  readonly isSender: boolean;
}

/**
 * Decides when this router may send a request to a server.
 *
 * @example
 * if (pace.measureWaitMs(server) === 0) {
 *   pace.recordSend(server);
 * }
 */
export class ServerPace {
  private readonly cold: ColdServers;
  private readonly choice: SenderChoice;
  /** When this router last sent to each server, by id. */
  private readonly sentAtMs = new Map<string, number>();
  private readonly limits = new WeakMap<ColdStart, ColdLimit>();
  /** Requests that found a server cold and not this router's turn. */
  private deferredCount = 0;

  constructor(private readonly options: ServerPaceOptions) {
    const {bounds, getColdStart} = options;
    this.cold = new ColdServers({
      ...options,
      getColdStart: service => (bounds ? getColdStart(service) : undefined),
      hasContact: () => this.choice.hasContact(),
    });
    this.choice = new SenderChoice(options.viewSenders);
  }

  /** True where operators have set bounds. */
  get isEnabled(): boolean {
    return this.options.bounds !== undefined;
  }

  /** Times that a cold server was passed over for a request. */
  get deferred(): number {
    return this.deferredCount;
  }

  /** False if no server can be cold now; a cheap check before the others. */
  hasCold(): boolean {
    return this.isEnabled && this.cold.hasCold();
  }

  /** Returns why a server is cold; undefined if it is warm. */
  findCause(server: PacedServer): ColdCause | undefined {
    return this.isEnabled ? this.cold.findCause(server) : undefined;
  }

  /**
   * Returns the time until this router may send a request to a server, in
   * milliseconds: 0 if it may now, Infinity if that is left to other routers.
   */
  measureWaitMs(server: PacedServer): number {
    if (!this.isEnabled) return 0;
    this.choice.refresh();
    return this.measureWaitAt(server, this.cold.takeMoment());
  }

  /** Returns the requests a second that a server takes from all routers. */
  getPerSecond(server: PacedServer): number {
    if (this.findCause(server) === undefined) return Infinity;
    return this.findLimit(server.service)?.perSecond ?? Infinity;
  }

  /** Lists the servers to which this router may send now. */
  listOpen<T extends PacedServer>(servers: T[]): T[] {
    if (!this.hasCold()) return servers;
    this.choice.refresh();
    const moment = this.cold.takeMoment();
    const open = servers.filter(
      server => this.measureWaitAt(server, moment) === 0,
    );
    this.deferredCount += servers.length - open.length;
    return open;
  }

  /** Records that a request is sent to a server, warm ones included. */
  recordSend(server: PacedServer): void {
    if (!this.isEnabled || !this.cold.getColdStart(server.service)) return;
    this.sentAtMs.set(server.id, performance.now());
  }

  /** Records the entries of a view that was read `ageMs` ago. */
  recordRead(servers: readonly PacedServer[], ageMs: number): void {
    if (this.isEnabled) this.cold.recordRead(servers, ageMs);
  }

  /** Records evidence that a server has restarted. */
  recordEvidence(server: PacedServer, kind: EvidenceKind): void {
    this.cold.recordEvidence(server, kind);
  }

  /**
   * Records a part of an answer.
   *
   * @param connectedAtMs - `performance.now()` when its connection was opened
   */
  recordLife(server: PacedServer, connectedAtMs: number): void {
    this.cold.recordLife(server, connectedAtMs);
  }

  /**
   * Handles a notice of another router.
   *
   * @returns true if it is new; undefined if it isn't about the pace
   */
  recordNotice(key: number): boolean | undefined {
    return this.isEnabled ? this.cold.evidence.recordNotice(key) : undefined;
  }

  /** Lists the cold ones of some servers. */
  listCold(servers: Iterable<PacedServer>): ColdServerState[] {
    const states: ColdServerState[] = [];
    if (!this.hasCold()) return states;
    this.choice.refresh();
    for (const server of servers) {
      const cause = this.findCause(server);
      if (cause === undefined) continue;
      const limit = this.findLimit(server.service);
      const isSender =
        limit !== undefined && this.isSender(server, cause, limit);
      states.push({id: server.id, cause, isSender});
    }
    return states;
  }

  /** Samples the routers, and removes state of servers that have left. */
  update(isListed: (serverId: string) => boolean): void {
    if (!this.isEnabled) return;
    this.choice.refresh();
    this.choice.forgetEnded(isListed);
    this.cold.update();
    for (const [id, atMs] of this.sentAtMs) {
      const isRecent = performance.now() - atMs < sendMemoryMs;
      if (!isRecent && !isListed(id)) this.sentAtMs.delete(id);
    }
  }

  private measureWaitAt(server: PacedServer, moment: Moment): number {
    const cause = this.cold.findCause(server, moment);
    if (cause === undefined) return 0;
    const limit = this.findLimit(server.service);
    if (!limit || !this.isSender(server, cause, limit)) return Infinity;
    const intervalMs =
      cause === ColdCause.RouterStarted
        ? startIntervalMs
        : computeSendIntervalMs(limit, this.choice.getDivisor(limit.senders));
    const sentAtMs = this.sentAtMs.get(server.id) ?? -Infinity;
    return Math.max(0, sentAtMs + intervalMs - moment.nowMs);
  }

  /**
   * A router that has just started sends a little to all servers that seem to
   * be warm: it most likely missed nothing, and the others know more.
   */
  private isSender(
    {id}: PacedServer,
    cause: ColdCause,
    {senders}: ColdLimit,
  ): boolean {
    if (cause === ColdCause.RouterStarted) return true;
    return this.choice.isSender(id, senders);
  }

  private findLimit(service: string): ColdLimit | undefined {
    const {bounds} = this.options;
    const coldStart = this.cold.getColdStart(service);
    if (!bounds || !coldStart) return undefined;
    let limit = this.limits.get(coldStart);
    if (!limit) {
      limit = computeColdLimit(coldStart, bounds);
      this.limits.set(coldStart, limit);
    }
    return limit;
  }
}
