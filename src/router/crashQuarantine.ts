/**
 * Finds requests and prompt parts that crash every backend server that runs
 * them, and keeps them away from the servers.
 *
 * Each crash accuses the requests that were lost with it, and all shared parts of
 * their prompts. A request that is answered somewhere is innocent, and so is a
 * part on which an answer starts. What has no such alibi is blocked once it
 * explains several crashes better than the other suspects of the same crashes.
 *
 * Routers share crashes, acquittals and probes, so that the whole fleet sends a
 * blocked suspect to a few servers at most.
 */
import {
  computeBlockEndMs,
  computeBlockStartMs,
  getMinCrashes,
  getRetentionMs,
  settleMs,
  suspicionMs,
  wholeMemoryMs,
} from './blockDuration.js';
import {
  noCrashEvidence,
  type CrashEvidence,
  type CrashReport,
} from './crashReports.js';
import {mergeTimes} from './crashTimes.js';
import {selectEvidence} from './evidenceLimit.js';
import {ReportTurns} from './reportTurns.js';
import {isRequestKey} from './requestKey.js';

/**
 * Time from the loss of a connection until the engine counts as crashed, in
 * milliseconds. A live engine sends events of other streams within it.
 */
const confirmMs = 300;
/**
 * Time after which twice as many routers may probe a suspect, in milliseconds.
 * Rare requests may never reach the first of them.
 */
const proberDoublingMs = 1_000;
/**
 * Time for which each report repeats new evidence, in milliseconds, because
 * reports may be lost. Resting routers get one in 400 ms.
 */
const repeatPeriodMs = 1_500;
/** Each takes about 200 bytes without its suspects. */
const maxCrashes = 1_000;
/** Suspects of all crashes together. */
const maxSuspects = 32_000;
/**
 * Parts of one prompt that are accused of a crash, so that a report of it fits into
 * a datagram. A head of 16 KB has room for fewer.
 */
const maxAccusedParts = 3_000;
/** Range of the random ids of crashes and probes. */
const idRange = 2 ** 32;

export enum VerdictKind {
  /** Nothing is blocked. */
  Clear = 'clear',
  /** A block has ended, and this request tests whether it crashes a server. */
  Probe = 'probe',
  Blocked = 'blocked',
}

/** Whether a request may be sent. */
export type Verdict =
  | {kind: VerdictKind.Clear}
  | {kind: VerdictKind.Probe; suspect: number; crashes: number}
  | {
      kind: VerdictKind.Blocked;
      suspect: number;
      crashes: number;
      /** Time until the block ends. */
      retryAfterMs: number;
    };

export interface CrashQuarantineOptions {
  /** True if the fleet has never run before, so that there is nothing to remember. */
  readonly isFirstStart: boolean;
  /** Sends the evidence to the other routers at once. */
  readonly announce: () => void;
  /**
   * True if this router is one of the few that send a request with the suspect
   * after its block has ended.
   *
   * @param count - number of such routers in the fleet
   */
  readonly isProber: (suspect: number, count: number) => boolean;
}

/** A lost request, as seen by the router that had sent it. */
export interface LostRequest {
  /** Keys of the shared parts of its prompt that may have crashed the server. */
  readonly parts: readonly number[];
  /** See `computeRequestKey`. */
  readonly request: number;
  /** Compact key of the server. */
  readonly server: number;
}

/** A crash with the suspects that are still accused of it. */
interface Crash {
  readonly atMs: number;
  readonly server: number;
  suspects: readonly number[];
}

/** Crashes of which a suspect is accused. */
interface Accusation {
  readonly ids: Set<number>;
  /** Times of the crashes that count. */
  timesMs: number[];
  /** Times of the probes, by id; absent until the first, to save memory. */
  probesAtMs?: Map<number, number>;
}

/** A suspect that is kept away from servers. */
interface Block {
  readonly crashes: number;
  readonly endsAtMs: number;
}

/**
 * Collects evidence against requests and prompt parts, of this router and of the
 * others.
 *
 * @example
 * const [manual, unit] = ['5c1e', '91bd'].map(computeCompactKey);
 * const request = computeRequestKey('/ask/', 'museum', body);
 * quarantine.recordCrash({parts: [manual, unit], request, server});
 * quarantine.check([manual, unit, request]).kind === VerdictKind.Clear
 */
export class CrashQuarantine {
  /** By id, the oldest first. */
  private readonly crashes = new Map<number, Crash>();
  /** Entries in the lists of suspects of all crashes. */
  private suspectCount = 0;
  private readonly accusations = new Map<number, Accusation>();
  private readonly repeatUntilMs = new Map<number, number>();
  private readonly turns = new ReportTurns();
  private readonly acquittalTurns = new ReportTurns();
  private readonly acquittedUntilMs = new Map<number, number>();
  private readonly probes = new Map<number, ProbeState>();
  private readonly requestedAtMs = new Map<number, number>();
  /**
   * Times of the crashes that a suspect explains best, until crashes or accusations
   * change. Each request asks for them, and each suspect may be accused of
   * hundreds of crashes.
   */
  private readonly explainedTimesMs = new Map<number, readonly number[]>();
  /** The suspect that explains a crash best, by its id, for as long. */
  private readonly mainSuspects = new Map<number, number | undefined>();

  /** `performance.now()` since which the fleet remembers crashes. */
  private memorySinceMs: number;

  constructor(private readonly options: CrashQuarantineOptions) {
    this.memorySinceMs = options.isFirstStart ? -Infinity : performance.now();
  }

  /** Number of crashes that are remembered. */
  get crashCount(): number {
    return this.crashes.size;
  }

  /** Lists the blocked requests and parts with the crashes that each explains. */
  listBlocked(): Array<readonly [suspect: number, crashes: number]> {
    return [...this.accusations.keys()].flatMap(suspect => {
      const block = this.findBlock(suspect);
      return block ? [[suspect, block.crashes] as const] : [];
    });
  }

  /**
   * Records that a connection was lost before the answer was complete, unless
   * the server turns out to be alive soon afterwards. While the memory is new, one
   * crash is enough for a block, and a connection that was only reset is none.
   *
   * @param isGone - checks that no process listens there any more
   */
  suspectCrash(
    lost: LostRequest,
    isAlive: () => boolean,
    isGone: () => Promise<boolean>,
  ): void {
    setTimeout(async () => {
      if (isAlive()) return;
      if (!this.isMemoryNew || (await isGone())) this.recordCrash(lost);
    }, confirmMs);
  }

  /** Records that a server crashed while it ran a request. */
  recordCrash({parts, request, server}: LostRequest): void {
    const id = drawId();
    const suspects = [...pickAccused(parts), request];
    this.addCrash(id, {atMs: performance.now(), server, suspects});
    this.repeatUntilMs.set(id, performance.now() + repeatPeriodMs);
    this.options.announce();
  }

  /** Records that an answer has started, which none of the parts prevented. */
  recordStart(parts: readonly number[]): void {
    for (const part of parts) this.recordInnocent(part);
  }

  /** Records that a server has answered the request and is still alive. */
  recordAnswer(request: number): void {
    this.recordInnocent(request);
  }

  private recordInnocent(suspect: number): void {
    if (!this.acquit(suspect)) return;
    this.acquittedUntilMs.set(suspect, performance.now() + repeatPeriodMs);
  }

  /**
   * Records the evidence in another router's report.
   *
   * @param shouldRelay - true on a relay, for reports of its members
   */
  recordPeer(evidence: CrashEvidence, shouldRelay: boolean): void {
    const nowMs = performance.now();
    const untilMs = nowMs + repeatPeriodMs;
    const peerSinceMs = nowMs - evidence.memoryAgeMs;
    this.memorySinceMs = Math.min(this.memorySinceMs, peerSinceMs);
    const crashes = evidence.crashes.filter(({id}) => !this.crashes.has(id));
    for (const {id, ageMs, server, suspects} of crashes) {
      const atMs = nowMs - Math.max(0, ageMs);
      this.addCrash(id, {atMs, server, suspects});
      if (shouldRelay) this.repeatUntilMs.set(id, untilMs);
    }
    const probes = evidence.probes.filter(
      ({id, suspect}) => !this.probes.has(id) && this.accusations.has(suspect),
    );
    for (const {id, ageMs, suspect} of probes) {
      this.addProbe(id, suspect, nowMs - Math.max(0, ageMs));
      if (shouldRelay) this.probes.get(id)!.repeatUntilMs = untilMs;
    }
    const acquitted = evidence.acquitted.filter(key => this.acquit(key));
    if (!shouldRelay) return;
    for (const key of acquitted) this.acquittedUntilMs.set(key, untilMs);
    const news = [crashes, probes, acquitted];
    if (news.some(list => list.length > 0)) this.options.announce();
  }

  /**
   * Lists the evidence for the next report.
   *
   * @param isFull - includes all evidence against blocked suspects, for routers
   * that have started since it was reported
   */
  listEvidence(isFull: boolean): CrashEvidence {
    const memoryAgeMs = this.measureMemoryAgeMs();
    if (this.crashes.size === 0 && this.acquittedUntilMs.size === 0) {
      return {...noCrashEvidence, memoryAgeMs};
    }
    const nowMs = performance.now();
    removeBefore(this.repeatUntilMs, nowMs);
    removeBefore(this.acquittedUntilMs, nowMs);
    this.acquittalTurns.retain(key => this.acquittedUntilMs.has(key));
    this.turns.retain(id => this.repeatUntilMs.has(id));
    this.evictExpired();
    const ids = new Set(this.repeatUntilMs.keys());
    const blocked = new Set<number>();
    if (isFull) {
      for (const [suspect] of this.listBlocked()) {
        blocked.add(suspect);
        for (const id of this.accusations.get(suspect)!.ids) ids.add(id);
      }
    }
    const probes = [...this.probes].filter(
      ([, {suspect, repeatUntilMs}]) =>
        repeatUntilMs >= nowMs || blocked.has(suspect),
    );
    const acquitted = this.acquittalTurns.sort(this.acquittedUntilMs.keys());
    const evidence = selectEvidence({
      memoryAgeMs,
      crashes: this.listReports(this.turns.sort(ids)),
      acquitted,
      probes: probes.map(([id, {suspect, atMs}]) => ({
        id,
        ageMs: Math.round(nowMs - atMs),
        suspect,
      })),
    });
    this.turns.record(evidence.crashes.map(({id}) => id));
    this.acquittalTurns.record(evidence.acquitted);
    return evidence;
  }

  private listReports(ids: readonly number[]): CrashReport[] {
    const reports: CrashReport[] = [];
    for (const id of ids) {
      const {atMs, server, suspects} = this.crashes.get(id)!;
      if (suspects.length === 0) continue;
      const ageMs = Math.round(performance.now() - atMs);
      reports.push({id, ageMs, server, suspects});
    }
    return reports;
  }

  /** Decides whether a request with these suspects may be sent. */
  check(suspects: readonly number[]): Verdict {
    const nowMs = performance.now();
    for (const suspect of suspects) {
      const block = this.findBlock(suspect);
      if (!block) continue;
      const {crashes, endsAtMs} = block;
      this.requestedAtMs.set(suspect, nowMs);
      if (nowMs >= endsAtMs && this.canProbe(suspect, nowMs - endsAtMs)) {
        return {kind: VerdictKind.Probe, suspect, crashes};
      }
      const retryAfterMs = Math.max(settleMs, endsAtMs - nowMs);
      return {kind: VerdictKind.Blocked, suspect, crashes, retryAfterMs};
    }
    return {kind: VerdictKind.Clear};
  }

  private canProbe(suspect: number, sinceMs: number): boolean {
    const count = 2 ** Math.floor(sinceMs / proberDoublingMs);
    return this.options.isProber(suspect, count);
  }

  /** Records, for all routers, that a request with a suspect is sent as a probe. */
  recordProbe(suspect: number): void {
    const id = drawId();
    const nowMs = performance.now();
    this.addProbe(id, suspect, nowMs);
    this.probes.get(id)!.repeatUntilMs = nowMs + repeatPeriodMs;
    this.options.announce();
  }

  private addProbe(id: number, suspect: number, atMs: number): void {
    this.probes.set(id, {suspect, atMs, repeatUntilMs: -Infinity});
    const accusation = this.accusations.get(suspect);
    if (!accusation) return;
    accusation.probesAtMs ??= new Map<number, number>();
    accusation.probesAtMs.set(id, atMs);
  }

  private addCrash(id: number, crash: Crash): void {
    this.clearExplanations();
    // A caller may list a part more than once.
    const suspects = [...new Set(crash.suspects)];
    this.crashes.set(id, {...crash, suspects});
    this.suspectCount += suspects.length;
    for (const suspect of suspects) {
      const accusation = this.accusations.get(suspect) ?? {
        ids: new Set<number>(),
        timesMs: [],
      };
      accusation.ids.add(id);
      accusation.timesMs = this.listTimes(suspect, accusation.ids);
      this.accusations.set(suspect, accusation);
    }
    while (this.hasExcess()) this.removeCrash(this.findExcess(id));
  }

  private hasExcess(): boolean {
    return (
      this.crashes.size > maxCrashes ||
      (this.suspectCount > maxSuspects && this.crashes.size > 1)
    );
  }

  /**
   * Finds the oldest crash on which no block may rest, or else the oldest. It is
   * never the latest, whose suspects may be about to crash further servers.
   */
  private findExcess(latest: number): number {
    const [oldest] = this.crashes.keys();
    for (const [id, {suspects}] of this.crashes) {
      const isNeeded = suspects.some(
        suspect =>
          this.accusations.get(suspect)!.timesMs.length >=
          getMinCrashes(suspect, this.isMemoryNew),
      );
      if (!isNeeded && id !== latest) return id;
    }
    return oldest;
  }

  private removeCrash(id: number): void {
    this.clearExplanations();
    const {suspects} = this.crashes.get(id)!;
    this.suspectCount -= suspects.length;
    for (const suspect of suspects) {
      const accusation = this.accusations.get(suspect)!;
      accusation.ids.delete(id);
      accusation.timesMs = this.listTimes(suspect, accusation.ids);
      if (accusation.ids.size === 0) this.forgetSuspect(suspect);
    }
    this.crashes.delete(id);
    this.repeatUntilMs.delete(id);
  }

  /** Clears a suspect of all crashes so far; false if it wasn't accused. */
  private acquit(suspect: number): boolean {
    const accusation = this.accusations.get(suspect);
    if (!accusation) return false;
    this.clearExplanations();
    // The crash stays, because other routers repeat their reports of it.
    for (const id of accusation.ids) {
      const crash = this.crashes.get(id)!;
      crash.suspects = crash.suspects.filter(other => other !== suspect);
      this.suspectCount -= 1;
    }
    this.forgetSuspect(suspect);
    return true;
  }

  private forgetSuspect(suspect: number): void {
    for (const id of this.accusations.get(suspect)?.probesAtMs?.keys() ?? []) {
      this.probes.delete(id);
    }
    this.accusations.delete(suspect);
    this.requestedAtMs.delete(suspect);
  }

  private evictExpired(): void {
    const nowMs = performance.now();
    for (const [id, {atMs, suspects}] of this.crashes) {
      if (nowMs - atMs < suspicionMs) continue;
      const isNeeded = suspects.some(key => this.findBlock(key) !== undefined);
      if (!isNeeded) this.removeCrash(id);
    }
  }

  private findBlock(suspect: number): Block | undefined {
    const accusation = this.accusations.get(suspect);
    const {isMemoryNew} = this;
    const least = getMinCrashes(suspect, isMemoryNew);
    if (!accusation || accusation.timesMs.length < least) return undefined;
    const nowMs = performance.now();
    const crashesAtMs = this.listExplainedTimes(suspect, accusation.ids);
    const crashes = crashesAtMs.length;
    if (crashes < least) return undefined;
    const probesAtMs = [...(accusation.probesAtMs?.values() ?? [])];
    const requestedAtMs =
      this.requestedAtMs.get(suspect) ?? crashesAtMs[crashes - 1];
    const history = {
      ...{suspect, crashesAtMs, probesAtMs, requestedAtMs, isMemoryNew},
    };
    if (nowMs < computeBlockStartMs(history)) return undefined;
    if (nowMs - requestedAtMs > getRetentionMs(history)) return undefined;
    return {crashes, endsAtMs: computeBlockEndMs(history)};
  }

  /**
   * True while all routers that are known have started lately, so that nobody may
   * remember the crashes before that.
   */
  private get isMemoryNew(): boolean {
    return performance.now() - this.memorySinceMs < wholeMemoryMs;
  }

  private measureMemoryAgeMs(): number {
    const ageMs = performance.now() - this.memorySinceMs;
    return Math.round(Math.min(wholeMemoryMs, ageMs));
  }

  private clearExplanations(): void {
    this.explainedTimesMs.clear();
    this.mainSuspects.clear();
  }

  private listExplainedTimes(
    suspect: number,
    ids: ReadonlySet<number>,
  ): readonly number[] {
    const known = this.explainedTimesMs.get(suspect);
    if (known) return known;
    const explained = [...ids].filter(
      id => this.findMainSuspect(id) === suspect,
    );
    const timesMs = this.listTimes(suspect, explained);
    this.explainedTimesMs.set(suspect, timesMs);
    return timesMs;
  }

  /**
   * Returns the suspect that explains the most crashes. Among equals it is the
   * last, which the fewest other requests share.
   */
  private findMainSuspect(id: number): number | undefined {
    if (this.mainSuspects.has(id)) return this.mainSuspects.get(id);
    let main: number | undefined;
    let most = 0;
    for (const suspect of this.crashes.get(id)!.suspects) {
      const count = this.accusations.get(suspect)!.timesMs.length;
      if (count >= most) main = suspect;
      most = Math.max(most, count);
    }
    this.mainSuspects.set(id, main);
    return main;
  }

  /** Lists the times of the crashes that count against a suspect. */
  private listTimes(suspect: number, ids: Iterable<number>): number[] {
    const crashes = [...ids].map(id => this.crashes.get(id)!);
    if (!isRequestKey(suspect)) {
      return mergeTimes(crashes.map(({atMs}) => atMs));
    }
    const servers = new Set(crashes.map(({server}) => server));
    const times = [...servers].flatMap(server =>
      mergeTimes(
        crashes.filter(crash => crash.server === server).map(c => c.atMs),
      ),
    );
    return times.sort((a, b) => a - b);
  }
}

/** A probe, and how long this router reports it. */
interface ProbeState {
  readonly suspect: number;
  readonly atMs: number;
  repeatUntilMs: number;
}

/**
 * Returns the parts that are accused of a crash: all, or neighbours from a random
 * place of a prompt that lists very many.
 */
function pickAccused(parts: readonly number[]): readonly number[] {
  if (parts.length <= maxAccusedParts) return parts;
  const start = Math.floor(Math.random() * parts.length);
  return [...parts, ...parts].slice(start, start + maxAccusedParts);
}

function drawId(): number {
  return Math.floor(Math.random() * idRange);
}

function removeBefore(untilMs: Map<number, number>, nowMs: number): void {
  for (const [key, endMs] of untilMs) {
    if (endMs < nowMs) untilMs.delete(key);
  }
}
