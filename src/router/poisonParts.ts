/**
 * Finds prompt parts that crash every engine that starts an answer on them, and
 * keeps them away from the engines.
 *
 * Each crash accuses all shared parts of the prompts that were lost with it. A
 * part that has its answer started somewhere is innocent. A part without such an
 * alibi is blocked once it explains several crashes better than the other parts
 * of the same prompts.
 */

/** Crashes that a part must explain before it is blocked. */
export const minCrashes = 3;
/**
 * Crashes that occur within this time count as one, in milliseconds. A rack that
 * loses power accuses every part that was in use there, but only once.
 */
const crashMergeMs = 250;
/**
 * Time from the loss of a connection until the engine counts as crashed, in
 * milliseconds. A live engine sends events of other streams within it.
 */
const confirmMs = 300;
/**
 * Time from the decisive crash to the block, in milliseconds. Within it, the
 * other routers report the answers that have started, also through two relays.
 */
const settleMs = 500;
/**
 * Duration of the first block, in milliseconds. It doubles with each further
 * crash. Blocks end, because a part may have been accused by coincidence.
 */
const initialBlockMs = 10_000;
/** A part with this many crashes stays blocked while requests with it come. */
const maxProbedCrashes = 7;
/** Time for which a crash accuses a part that is not blocked. */
const suspicionMs = 60_000;
/** A blocked part is forgotten when no request had it for this long. */
const blockRetentionMs = 600_000;
/**
 * Time for which each report repeats new evidence, in milliseconds, because
 * reports may be lost. Resting routers get one in 400 ms.
 */
const repeatPeriodMs = 1_500;
/** Each takes about 200 bytes. */
const maxCrashes = 1_000;
/** Parts of one prompt that a crash accuses; a prompt may list hundreds. */
const maxAccusedParts = 32;
/** Keys of parts in one report, of each kind; about 5 bytes each. */
const maxReportedKeys = 2_000;
/** Range of the random ids of crashes. */
const idRange = 2 ** 32;

/** A crash as routers report it to each other. */
export interface CrashReport {
  /** Random; the same in each repetition of the report. */
  readonly id: number;
  readonly ageMs: number;
  /** Compact keys of the prompt's shared parts, first to last. */
  readonly parts: readonly number[];
}

/** Evidence of one router for the others. */
export interface PartEvidence {
  readonly crashes: readonly CrashReport[];
  /** Compact keys of accused parts on which an answer has started. */
  readonly acquitted: readonly number[];
}

export const noPartEvidence: PartEvidence = {crashes: [], acquitted: []};

export enum PartVerdictKind {
  /** No part is blocked. */
  Clear = 'clear',
  /** The block of a part has ended, and this request tests whether it crashes. */
  Probe = 'probe',
  Blocked = 'blocked',
}

/** Whether a request may be sent. */
export type PartVerdict =
  | {kind: PartVerdictKind.Clear}
  | {kind: PartVerdictKind.Probe; part: number; crashes: number}
  | {
      kind: PartVerdictKind.Blocked;
      part: number;
      crashes: number;
      /** Time until the block ends. */
      retryAfterMs: number;
    };

export interface PoisonPartsOptions {
  /** Sends the evidence to the other routers at once. */
  readonly announce: () => void;
  /**
   * True if this router is the one of the fleet that sends a request with the
   * part after the part's block has ended.
   */
  readonly isProber: (part: number) => boolean;
}

/** A crash with the parts that are still accused of it. */
interface Crash {
  readonly atMs: number;
  parts: readonly number[];
}

/** Crashes of which a part is accused. */
interface Accusation {
  readonly ids: Set<number>;
  /** Times of the crashes, one for those that occur together. */
  timesMs: number[];
}

/** A part that is kept away from engines. */
interface Block {
  readonly crashes: number;
  readonly endsAtMs: number;
}

/**
 * Collects evidence against prompt parts, of this router and of the others.
 *
 * @example
 * parts.recordCrash([computeCompactKey('5c1e'), computeCompactKey('91bd')]);
 * parts.check(otherPrompt).kind === PartVerdictKind.Clear
 */
export class PoisonParts {
  /** By id, the oldest first. */
  private readonly crashes = new Map<number, Crash>();
  private readonly accusations = new Map<number, Accusation>();
  private readonly repeatUntilMs = new Map<number, number>();
  private readonly acquittedUntilMs = new Map<number, number>();
  private readonly probedAtMs = new Map<number, number>();
  private readonly requestedAtMs = new Map<number, number>();

  constructor(private readonly options: PoisonPartsOptions) {}

  /** Number of crashes that are remembered. */
  get crashCount(): number {
    return this.crashes.size;
  }

  /** Lists the blocked parts with the crashes that each explains. */
  listBlocked(): Array<readonly [part: number, crashes: number]> {
    return [...this.accusations.keys()].flatMap(part => {
      const block = this.findBlock(part);
      return block ? [[part, block.crashes] as const] : [];
    });
  }

  /**
   * Records that a connection was lost before the answer had started, unless
   * the engine turns out to be alive soon afterwards.
   */
  suspectCrash(parts: readonly number[], isAlive: () => boolean): void {
    if (parts.length === 0) return;
    setTimeout(() => {
      if (!isAlive()) this.recordCrash(parts);
    }, confirmMs);
  }

  /** Records that an engine crashed before it had started the answer. */
  recordCrash(parts: readonly number[]): void {
    const id = Math.floor(Math.random() * idRange);
    this.addCrash(id, performance.now(), parts);
    this.repeatUntilMs.set(id, performance.now() + repeatPeriodMs);
    this.options.announce();
  }

  /** Records that an answer has started, which none of the parts prevented. */
  recordStart(parts: readonly number[]): void {
    for (const part of parts) {
      if (!this.acquit(part)) continue;
      const untilMs = performance.now() + repeatPeriodMs;
      this.acquittedUntilMs.set(part, untilMs);
    }
  }

  /**
   * Records the evidence in another router's report.
   *
   * @param shouldRelay - true on a relay, for reports of its members
   */
  recordPeer(evidence: PartEvidence, shouldRelay: boolean): void {
    const untilMs = performance.now() + repeatPeriodMs;
    const crashes = evidence.crashes.filter(({id}) => !this.crashes.has(id));
    for (const {id, ageMs, parts} of crashes) {
      this.addCrash(id, performance.now() - Math.max(0, ageMs), parts);
      if (shouldRelay) this.repeatUntilMs.set(id, untilMs);
    }
    const acquitted = evidence.acquitted.filter(part => this.acquit(part));
    if (!shouldRelay) return;
    for (const part of acquitted) this.acquittedUntilMs.set(part, untilMs);
    if (crashes.length + acquitted.length > 0) this.options.announce();
  }

  /**
   * Lists the evidence for the next report.
   *
   * @param isFull - includes all evidence against blocked parts, for routers
   * that have started since it was reported
   */
  listEvidence(isFull: boolean): PartEvidence {
    if (this.crashes.size === 0 && this.acquittedUntilMs.size === 0) {
      return noPartEvidence;
    }
    const nowMs = performance.now();
    removeBefore(this.repeatUntilMs, nowMs);
    removeBefore(this.acquittedUntilMs, nowMs);
    this.evictExpired();
    const ids = new Set(this.repeatUntilMs.keys());
    if (isFull) {
      for (const [part] of this.listBlocked()) {
        for (const id of this.accusations.get(part)!.ids) ids.add(id);
      }
    }
    const acquitted = [...this.acquittedUntilMs.keys()];
    return {
      crashes: this.listReports([...ids].reverse()),
      acquitted: acquitted.slice(-maxReportedKeys),
    };
  }

  /** Lists crashes until the report is full. */
  private listReports(ids: readonly number[]): CrashReport[] {
    const reports: CrashReport[] = [];
    let keys = 0;
    for (const id of ids) {
      const {atMs, parts} = this.crashes.get(id)!;
      if (parts.length === 0) continue;
      keys += parts.length;
      if (keys > maxReportedKeys) break;
      const ageMs = Math.round(performance.now() - atMs);
      reports.push({id, ageMs, parts});
    }
    return reports;
  }

  /** Decides whether a request with these shared parts may be sent. */
  check(parts: readonly number[]): PartVerdict {
    const nowMs = performance.now();
    for (const part of parts) {
      const block = this.findBlock(part);
      if (!block) continue;
      const {crashes, endsAtMs} = block;
      this.requestedAtMs.set(part, nowMs);
      if (nowMs >= endsAtMs && this.options.isProber(part)) {
        return {kind: PartVerdictKind.Probe, part, crashes};
      }
      const retryAfterMs = Math.max(settleMs, endsAtMs - nowMs);
      return {kind: PartVerdictKind.Blocked, part, crashes, retryAfterMs};
    }
    return {kind: PartVerdictKind.Clear};
  }

  /** Records that a request with a blocked part is sent as a probe. */
  recordProbe(part: number): void {
    this.probedAtMs.set(part, performance.now());
  }

  private addCrash(id: number, atMs: number, keys: readonly number[]): void {
    // A caller may list a part more than once.
    const parts = [...new Set(keys)].slice(0, maxAccusedParts);
    this.crashes.set(id, {atMs, parts});
    for (const part of parts) {
      const accusation = this.accusations.get(part);
      if (!accusation) {
        const ids = new Set([id]);
        this.accusations.set(part, {ids, timesMs: [atMs]});
        continue;
      }
      accusation.ids.add(id);
      accusation.timesMs = mergeTimes([...accusation.timesMs, atMs]);
    }
    if (this.crashes.size <= maxCrashes) return;
    const [oldest] = this.crashes.keys();
    this.removeCrash(oldest);
  }

  private removeCrash(id: number): void {
    for (const part of this.crashes.get(id)?.parts ?? []) {
      const accusation = this.accusations.get(part)!;
      accusation.ids.delete(id);
      accusation.timesMs = this.listTimes(accusation.ids);
      if (accusation.ids.size === 0) this.forgetPart(part);
    }
    this.crashes.delete(id);
    this.repeatUntilMs.delete(id);
  }

  /** Clears a part of all crashes so far; false if it wasn't accused. */
  private acquit(part: number): boolean {
    const accusation = this.accusations.get(part);
    if (!accusation) return false;
    // The crash stays, because other routers repeat their reports of it.
    for (const id of accusation.ids) {
      const crash = this.crashes.get(id)!;
      crash.parts = crash.parts.filter(other => other !== part);
    }
    this.forgetPart(part);
    return true;
  }

  private forgetPart(part: number): void {
    this.accusations.delete(part);
    this.probedAtMs.delete(part);
    this.requestedAtMs.delete(part);
  }

  private evictExpired(): void {
    const nowMs = performance.now();
    for (const [id, {atMs, parts}] of this.crashes) {
      if (nowMs - atMs < suspicionMs) continue;
      const isNeeded = parts.some(part => this.findBlock(part) !== undefined);
      if (!isNeeded) this.removeCrash(id);
    }
  }

  private findBlock(part: number): Block | undefined {
    const accusation = this.accusations.get(part);
    if (!accusation || accusation.timesMs.length < minCrashes) return undefined;
    const nowMs = performance.now();
    const explained = [...accusation.ids].filter(
      id => this.findMainSuspect(id) === part,
    );
    const timesMs = this.listTimes(explained);
    const crashes = timesMs.length;
    if (crashes < minCrashes) return undefined;
    if (nowMs < timesMs[minCrashes - 1] + settleMs) return undefined;
    const lastAtMs = timesMs[crashes - 1];
    const requestedAtMs = this.requestedAtMs.get(part) ?? lastAtMs;
    if (nowMs - requestedAtMs > blockRetentionMs) return undefined;
    if (crashes >= maxProbedCrashes) {
      return {crashes, endsAtMs: requestedAtMs + blockRetentionMs};
    }
    const durationMs = initialBlockMs * 2 ** (crashes - minCrashes);
    const probedAtMs = this.probedAtMs.get(part) ?? -Infinity;
    const startMs = Math.max(lastAtMs, probedAtMs);
    return {crashes, endsAtMs: startMs + durationMs};
  }

  /**
   * Returns the part of a lost prompt that explains the most crashes. Among
   * equals it is the last, which the fewest other prompts share.
   */
  private findMainSuspect(id: number): number | undefined {
    let suspect: number | undefined;
    let most = 0;
    for (const part of this.crashes.get(id)!.parts) {
      const count = this.accusations.get(part)!.timesMs.length;
      if (count >= most) suspect = part;
      most = Math.max(most, count);
    }
    return suspect;
  }

  private listTimes(ids: Iterable<number>): number[] {
    return mergeTimes([...ids].map(id => this.crashes.get(id)!.atMs));
  }
}

/** Sorts times and keeps the first of those that are close together. */
function mergeTimes(timesMs: readonly number[]): number[] {
  const merged: number[] = [];
  for (const timeMs of [...timesMs].sort((a, b) => a - b)) {
    const lastMs = merged.at(-1) ?? -Infinity;
    if (timeMs - lastMs > crashMergeMs) merged.push(timeMs);
  }
  return merged;
}

function removeBefore(untilMs: Map<number, number>, nowMs: number): void {
  for (const [key, endMs] of untilMs) {
    if (endMs < nowMs) untilMs.delete(key);
  }
}
