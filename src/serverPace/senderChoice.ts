/**
 * Choice of the routers that may send to a cold server.
 *
 * All routers that callers are sent to are ranked for each server by rendezvous
 * hashing, and the first few may send. Routers may differ in whom they hear, so
 * each remembers for a minute whom it has heard:
 *
 * - A router that hears more than half of the routers that it remembers chooses
 *   among those that it hears. There is at most one such side of a partition.
 * - Any other router chooses among all that it remembers. All of these choose
 *   the same routers, however many sides there are.
 *
 * - A router that has just started sends nothing until it knows the others: for
 *   the time in which it hears of them, and until it hears more than half of
 *   those that it remembers or knows as seeds that haven't retired.
 *
 * So there are at most two groups of senders, and `coldLimit.ts` leaves room
 * for two. A router that says that callers are no longer sent to it, or that it
 * leaves, is forgotten at once; one that falls silent isn't, because it may
 * still send.
 */
import {sortByWeight} from '../node/rendezvous.js';

/**
 * Time for which silent routers are remembered, in milliseconds. After a longer
 * partition each side counts as a fleet of its own.
 */
const memoryMs = 60_000;
/** A sample of the routers is used for this long, in milliseconds. */
const sampleMs = 100;
/**
 * A router that has just started may not know the others yet, and sends nothing
 * to cold servers for this long, in milliseconds: a full report and the longest
 * delay of a report.
 */
const learningMs = 2_500;

/** The routers that callers are sent to, as one router sees them. */
export interface SenderView {
  /** IP address of this router. */
  readonly host: string;
  /** True if callers are sent to this router. */
  readonly isOffered: boolean;
  /** Others that callers are sent to and that were heard lately. */
  readonly others: readonly string[];
  /** Others that said that callers aren't sent to them, or that they leave. */
  readonly retired: readonly string[];
  /** Some routers that this one knows from its settings; may be stale. */
  readonly seeds: readonly string[];
}

interface ChosenSenders {
  readonly version: number;
  readonly senders: number;
  readonly isSender: boolean;
}

/**
 * Tells whether this router may send to a cold server, as of the last `refresh`.
 *
 * @example
 * const choice = new SenderChoice(() => view);
 * choice.refresh();
 * if (choice.isSender('engine-7', 3)) send(choice.getDivisor(3));
 */
export class SenderChoice {
  private readonly startedAtMs = performance.now();
  /** When each of the other routers was last heard. */
  private readonly heardAtMs = new Map<string, number>();
  private hasHeardOthers = false;
  private canBeSender = false;
  /** Largest number of candidates within the last minute. */
  private mostCandidates = 1;
  private candidates: string[] = [];
  private host = '';
  /** Grows with each change of the candidates. */
  private version = 0;
  private sampledAtMs = -Infinity;
  private readonly chosen = new Map<string, ChosenSenders>();
  /** Times at which each number of candidates was last known. */
  private readonly countSeenAtMs = new Map<number, number>();

  constructor(private readonly view: () => SenderView) {}

  /** True if this router is one of the senders of a server. */
  isSender(serverId: string, senders: number): boolean {
    if (!this.canBeSender) return false;
    const known = this.chosen.get(serverId);
    if (known?.version === this.version && known.senders === senders) {
      return known.isSender;
    }
    const key = `cold ${serverId}`;
    const ranked = sortByWeight(key, this.candidates, host => host);
    const isSender = ranked.slice(0, senders).includes(this.host);
    this.chosen.set(serverId, {version: this.version, senders, isSender});
    return isSender;
  }

  /**
   * True once this router has heard more than half of the others that it knows
   * of since its start.
   */
  hasContact(): boolean {
    this.refresh();
    return this.hasHeardOthers;
  }

  /**
   * Returns the largest number of senders that this router has known within
   * the last minute. Their rate is divided by it.
   */
  getDivisor(senders: number): number {
    return Math.min(senders, this.mostCandidates);
  }

  /** Takes a sample of the routers unless the last one is recent. */
  refresh(): void {
    const nowMs = performance.now();
    if (nowMs - this.sampledAtMs < sampleMs) return;
    this.sampledAtMs = nowMs;
    const {host, isOffered, others, retired, seeds} = this.view();
    for (const other of others) this.heardAtMs.set(other, nowMs);
    for (const other of retired) this.heardAtMs.delete(other);
    for (const [other, atMs] of this.heardAtMs) {
      if (nowMs - atMs > memoryMs) this.heardAtMs.delete(other);
    }
    this.host = host;
    const heard = [host, ...others];
    const remembered = [host, ...this.heardAtMs.keys()];
    const ageMs = nowMs - this.startedAtMs;
    // A seed that rests or has ended is never among those that are heard.
    const activeSeeds = seeds.filter(seed => !retired.includes(seed));
    const expected = new Set([...remembered, ...activeSeeds]);
    if (heard.length > expected.size / 2 || ageMs > memoryMs) {
      this.hasHeardOthers = true;
    }
    this.canBeSender = isOffered && this.hasHeardOthers && ageMs >= learningMs;
    this.setCandidates(
      heard.length > remembered.length / 2 ? heard : remembered,
    );
    this.countSeenAtMs.set(remembered.length, nowMs);
    for (const [count, atMs] of this.countSeenAtMs) {
      if (nowMs - atMs > memoryMs) this.countSeenAtMs.delete(count);
    }
    this.mostCandidates = Math.max(1, ...this.countSeenAtMs.keys());
  }

  /** Removes what is known of servers that have left. */
  forgetEnded(isListed: (serverId: string) => boolean): void {
    for (const id of this.chosen.keys()) {
      if (!isListed(id)) this.chosen.delete(id);
    }
  }

  private setCandidates(hosts: readonly string[]): void {
    const candidates = [...hosts].sort();
    const isSame =
      candidates.length === this.candidates.length &&
      candidates.every((host, index) => host === this.candidates[index]);
    if (isSame) return;
    this.candidates = candidates;
    this.version += 1;
  }
}
