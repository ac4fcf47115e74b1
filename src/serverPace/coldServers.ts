/**
 * Which backend servers are cold.
 *
 * A server is cold
 *
 * - for the time that its entry states, from the read of the entry on. Reading
 *   the same entry again doesn't prolong that;
 * - while there is evidence that it has restarted; see `restartEvidence.ts`;
 * - for the duration of a cold start after its zone has returned to service;
 * - while this router's view of the servers is old: any of them may have been
 *   restarted since; and
 * - for the first seconds of this router, until it hears the others and the
 *   evidence that they found before.
 *
 * Only servers of services with a `ColdStart` can be cold.
 */
import {
  formatPacedProcess,
  type ColdStart,
  type PacedServer,
} from './pacedServer.js';
import {
  RestartEvidence,
  type EvidenceKind,
  type NoticeChannel,
} from './restartEvidence.js';

/** Why a server is cold. */
export enum ColdCause {
  /** Its entry says so. */
  Entry = 'entry',
  /** It may have restarted since its entry was written. */
  Restarted = 'restarted',
  /** Its zone has returned to service. */
  ZoneReturned = 'zoneReturned',
  /** This router's view of the servers is old. */
  StaleView = 'staleView',
  /** This router has just started, hears few others, and may miss a restart. */
  RouterStarted = 'routerStarted',
}

/**
 * Beyond this age of the view, in milliseconds, every server counts as cold. A
 * server that crashes may be back within 2 s.
 */
const maxViewAgeMs = 2_500;
/**
 * After this time, in milliseconds, a router has read entries that were written
 * after its start: reads may be 2 s behind, and come every 0.8 s.
 */
const learningMs = 2_800;
/** Entries that are missing from the view are remembered for this long. */
const memoryMs = 60_000;

export interface ColdServersOptions extends NoticeChannel {
  /** Returns the cold start of a service; undefined if it has none. */
  readonly getColdStart: (service: string) => ColdStart | undefined;
  /** Returns the time since the newest read of the servers. */
  readonly measureViewAgeMs: () => number;
  /**
   * Returns the time since a zone returned to service; Infinity if it was never
   * out of service.
   */
  readonly measureSinceReturnMs?: (zone: string) => number;
  /** True once this router has heard enough of the others since its start. */
  readonly hasContact: () => boolean;
}

/** Times that are the same for all servers. */
export interface Moment {
  readonly nowMs: number;
  readonly viewAgeMs: number;
}

interface KnownEntry {
  process: string;
  warmUpMs: number;
  coldUntilMs: number;
  seenAtMs: number;
}

/**
 * Keeps the reasons for which servers are cold.
 *
 * @example
 * cold.recordRead(view.servers, ageMs);
 * const cause = cold.findCause(server); // undefined for a warm server
 */
export class ColdServers {
  readonly evidence: RestartEvidence;
  private readonly startedAtMs = performance.now();
  private readonly entries = new Map<string, KnownEntry>();
  private zones: ReadonlySet<string> = new Set();
  private processes: ReadonlySet<string> = new Set();
  /** Longest cold start of a service so far. */
  private maxColdMs = 0;
  /** No entry says that its server is cold beyond this time. */
  private lastEntryEndsAtMs = -Infinity;

  constructor(private readonly options: ColdServersOptions) {
    this.evidence = new RestartEvidence(options);
  }

  /** Records the entries of a view that was read `ageMs` ago. */
  recordRead(servers: readonly PacedServer[], ageMs: number): void {
    const readAtMs = performance.now() - ageMs;
    // Also those of other services, which a later deployment may change.
    for (const server of servers) this.recordEntry(server, readAtMs);
    const paced = servers.filter(({service}) => this.getColdStart(service));
    for (const [id, {seenAtMs}] of this.entries) {
      if (readAtMs - seenAtMs > memoryMs) this.entries.delete(id);
    }
    this.zones = new Set(paced.map(({zone}) => zone));
    for (const {service} of paced) {
      const durationMs = this.getColdStart(service)?.durationMs ?? 0;
      this.maxColdMs = Math.max(this.maxColdMs, durationMs);
    }
    const processes = paced.map(formatPacedProcess);
    const isSame =
      processes.length === this.processes.size &&
      processes.every(process => this.processes.has(process));
    if (isSame) return;
    this.processes = new Set(processes);
    this.evidence.setProcesses(processes);
  }

  /** Records evidence that a server has restarted. */
  recordEvidence(server: PacedServer, kind: EvidenceKind): void {
    if (!this.getColdStart(server.service)) return;
    this.evidence.record(formatPacedProcess(server), kind);
  }

  /** Records a part of an answer; see `RestartEvidence.recordLife`. */
  recordLife(server: PacedServer, connectedAtMs: number): void {
    // Answers are frequent, and evidence is rare.
    if (this.evidence.isEmpty) return;
    this.evidence.recordLife(formatPacedProcess(server), connectedAtMs);
  }

  /** False if no server can be cold now; a cheap check before `findCause`. */
  hasCold(): boolean {
    return (
      !this.evidence.isEmpty ||
      this.isLearning() ||
      performance.now() < this.lastEntryEndsAtMs ||
      this.options.measureViewAgeMs() > maxViewAgeMs ||
      this.hasReturnedZone()
    );
  }

  /** Takes the times that `findCause` needs, once for many servers. */
  takeMoment(): Moment {
    const nowMs = performance.now();
    return {nowMs, viewAgeMs: this.options.measureViewAgeMs()};
  }

  /** Returns why a server is cold; undefined if it is warm. */
  findCause(
    server: PacedServer,
    {nowMs, viewAgeMs} = this.takeMoment(),
  ): ColdCause | undefined {
    const {measureSinceReturnMs} = this.options;
    const coldStart = this.getColdStart(server.service);
    if (!coldStart) return undefined;
    const {durationMs} = coldStart;
    if (viewAgeMs > maxViewAgeMs) return ColdCause.StaleView;
    if ((measureSinceReturnMs?.(server.zone) ?? Infinity) < durationMs) {
      return ColdCause.ZoneReturned;
    }
    if (this.evidence.has(server.id)) {
      const process = formatPacedProcess(server);
      const view = {
        process,
        hasStartTime: server.startedAt !== undefined,
        // Servers that are missing from the view may be kept for a while.
        freshAtMs: this.processes.has(process) ? nowMs - viewAgeMs : -Infinity,
        coldMs: durationMs,
      };
      if (this.evidence.isRestarted(view)) return ColdCause.Restarted;
    }
    if (nowMs < this.lastEntryEndsAtMs) {
      const entry = this.entries.get(server.id);
      if (entry && nowMs < entry.coldUntilMs) return ColdCause.Entry;
    }
    return this.isLearning(nowMs) ? ColdCause.RouterStarted : undefined;
  }

  /** Returns the cold start of a service; undefined if it has none. */
  getColdStart(service: string): ColdStart | undefined {
    const coldStart = this.options.getColdStart(service);
    return coldStart && coldStart.requestsPerSecond > 0 ? coldStart : undefined;
  }

  /** Repeats evidence to the other routers, and removes what is old. */
  update(): void {
    this.evidence.repeat();
    this.evidence.forgetOld(this.maxColdMs);
  }

  private isLearning(nowMs = performance.now()): boolean {
    return nowMs - this.startedAtMs < learningMs && !this.options.hasContact();
  }

  private hasReturnedZone(): boolean {
    const {measureSinceReturnMs} = this.options;
    if (!measureSinceReturnMs) return false;
    for (const zone of this.zones) {
      if (measureSinceReturnMs(zone) < this.maxColdMs) return true;
    }
    return false;
  }

  private recordEntry(server: PacedServer, readAtMs: number): void {
    const {id, warmUpMs} = server;
    const process = formatPacedProcess(server);
    const known = this.entries.get(id);
    const coldUntilMs = warmUpMs > 0 ? readAtMs + warmUpMs : -Infinity;
    const entry = {process, warmUpMs, coldUntilMs, seenAtMs: readAtMs};
    if (known?.process === process && warmUpMs <= known.warmUpMs) {
      // The same entry, or a later one of the same process.
      entry.coldUntilMs =
        warmUpMs === known.warmUpMs
          ? known.coldUntilMs
          : Math.min(known.coldUntilMs, coldUntilMs);
    } else if (known) {
      entry.coldUntilMs = Math.max(known.coldUntilMs, coldUntilMs);
    }
    this.entries.set(id, entry);
    this.lastEntryEndsAtMs = Math.max(
      this.lastEntryEndsAtMs,
      entry.coldUntilMs,
    );
  }
}
