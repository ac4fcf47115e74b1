/** Order in which the waiting requests of one backend server are granted. */
import {tierCount} from '../config/configuration.js';
import {FairQueue} from '../node/fairQueue.js';

/**
 * Share of grants reserved for all classes without a minimum share, in total.
 */
export const totalFloorShare = 0.1;
/** Upper limit on the share of one class without a minimum share. */
export const maxFloorShare = 0.01;
/**
 * Upper limit on credit: a class whose requests are all ineligible keeps
 * earning it without being served.
 */
const maxCredit = 2;
/** Absorbs rounding errors: adding 0.1 ten times gives slightly less than 1. */
const creditTolerance = 1e-9;

/** Properties of a class that the scheduler uses. */
export interface ScheduledClass {
  tier: number;
  minimumShare: number;
}

/** Properties of a waiting request that the scheduler uses. */
export interface SchedulerEntry {
  readonly className: string;
  readonly customer: string;
  readonly deadlineAtMs: number;
}

/** The entry to serve next. */
export interface ScheduledPick<E> {
  entry: E;
  /**
   * True if the entry comes first because its class is due, that is, owed a
   * grant by its share.
   */
  due: boolean;
}

interface ClassState<E extends SchedulerEntry> {
  tier: number;
  share: number;
  credit: number;
  /**
   * Number of the grant at which the credit reached 1, which makes the class
   * due; undefined while the credit is below 1.
   */
  dueSinceGrant: number | undefined;
  queue: FairQueue<E>;
}

/**
 * Computes the share of grants of each class: its minimum share or, without
 * one, a floor share, so that the wait of every class is bounded.
 *
 * @example
 * computeShares({a: {tier: 0, minimumShare: 0}}).get('a') === 0.01
 */
export function computeShares(
  classes: Readonly<Record<string, ScheduledClass>>,
): Map<string, number> {
  const entries = Object.entries(classes);
  const withoutShare = entries.filter(([, {minimumShare}]) => !minimumShare);
  const floor = Math.min(maxFloorShare, totalFloorShare / withoutShare.length);
  return new Map(
    entries.map(([name, {minimumShare}]) => [name, minimumShare || floor]),
  );
}

/**
 * Serves the classes that are due by their credit first, then the most urgent
 * tier, then the earliest deadline among the classes of that tier. Customers
 * within a class are served fairly.
 *
 * @example
 * const scheduler = new ClassScheduler<Entry>(configuration.classes);
 * scheduler.push(entry);
 * const pick = scheduler.pickNext();
 * if (pick) scheduler.take(pick.entry);
 */
export class ClassScheduler<E extends SchedulerEntry> {
  private readonly states = new Map<string, ClassState<E>>();
  private classes: Readonly<Record<string, ScheduledClass>> = {};
  private shares = new Map<string, number>();
  private grantCount = 0;

  constructor(classes: Readonly<Record<string, ScheduledClass>>) {
    this.update(classes);
  }

  /** Applies new classes; waiting entries and credits are kept. */
  update(classes: Readonly<Record<string, ScheduledClass>>): void {
    this.classes = classes;
    this.shares = computeShares(classes);
    for (const [name, state] of this.states) {
      state.tier = this.getTier(name);
      state.share = this.shares.get(name) ?? maxFloorShare;
    }
  }

  /** Number of waiting entries. */
  get length(): number {
    let length = 0;
    for (const {queue} of this.states.values()) length += queue.length;
    return length;
  }

  /** Number of classes in the configuration. */
  countClasses(): number {
    return this.shares.size;
  }

  /**
   * Tier of a class; the lowest one if the class is not in this dispatcher's
   * configuration yet.
   */
  getTier(className: string): number {
    return Object.hasOwn(this.classes, className)
      ? this.classes[className].tier
      : tierCount - 1;
  }

  push(entry: E): void {
    this.getState(entry.className).queue.push(entry);
  }

  /** Removes an entry without serving it; returns false if it isn't waiting. */
  remove(entry: E): boolean {
    const state = this.states.get(entry.className);
    if (!state?.queue.remove(entry)) return false;
    // An idle class must not save up credit for a burst.
    if (state.queue.length === 0) state.credit = Math.min(state.credit, 1);
    return true;
  }

  /** Returns the entry to serve next, without changing any state. */
  pickNext(isEligible?: (entry: E) => boolean): ScheduledPick<E> | undefined {
    let best: {state: ClassState<E>; entry: E} | undefined;
    for (const state of this.states.values()) {
      if (state.queue.length === 0) continue;
      const entry = isEligible
        ? state.queue.findHead(isEligible)
        : state.queue.getHead();
      if (!entry) continue;
      const candidate = {state, entry};
      if (!best || isBefore(candidate, best)) best = candidate;
    }
    if (!best) return undefined;
    return {entry: best.entry, due: best.state.dueSinceGrant !== undefined};
  }

  /**
   * Removes a granted entry. Each class with waiting entries earns its share as
   * credit; the served class pays 1, but its credit never falls below 0.
   */
  take(entry: E): void {
    this.grantCount += 1;
    for (const state of this.states.values()) {
      if (state.queue.length === 0) continue;
      state.credit = Math.min(state.credit + state.share, maxCredit);
      if (isDue(state)) state.dueSinceGrant ??= this.grantCount;
    }
    const state = this.getState(entry.className);
    state.queue.take(entry);
    state.credit = Math.max(0, state.credit - 1);
    // A class that is still due moves behind those that are due already.
    state.dueSinceGrant = isDue(state) ? this.grantCount : undefined;
  }

  /**
   * Returns the entry to evict from a full queue: the one with the latest
   * deadline in the lowest tier, but never the only waiting entry of a class.
   */
  pickVictim(): E | undefined {
    let victim: E | undefined;
    for (const state of this.states.values()) {
      if (state.queue.length < 2) continue;
      for (const entry of state.queue.listEntries()) {
        if (!victim || this.isEvictedBefore(entry, victim)) victim = entry;
      }
    }
    return victim;
  }

  /** Lists the waiting entries in the order in which they would be granted. */
  listInGrantOrder(isEligible?: (entry: E) => boolean): E[] {
    const copy = new ClassScheduler<E>(this.classes);
    copy.grantCount = this.grantCount;
    for (const [name, state] of this.states) {
      if (state.queue.length === 0) continue;
      copy.states.set(name, {...state, queue: state.queue.buildCopy()});
    }
    const order: E[] = [];
    for (;;) {
      const pick = copy.pickNext(isEligible);
      if (!pick) return order;
      copy.take(pick.entry);
      order.push(pick.entry);
    }
  }

  /** Lists the waiting entries, in no particular order. */
  listEntries(): E[] {
    return [...this.states.values()].flatMap(({queue}) => queue.listEntries());
  }

  /** State for the operators' dump. */
  describe(): object {
    return Object.fromEntries(
      [...this.states].map(([name, {tier, share, credit, queue}]) => [
        name,
        {tier, share, credit, waiting: queue.length},
      ]),
    );
  }

  private getState(className: string): ClassState<E> {
    const known = this.states.get(className);
    if (known) return known;
    const state = {
      tier: this.getTier(className),
      share: this.shares.get(className) ?? maxFloorShare,
      credit: 0,
      dueSinceGrant: undefined,
      queue: new FairQueue<E>(),
    };
    this.dropIdleStates();
    this.states.set(className, state);
    return state;
  }

  /**
   * Drops idle classes that were removed from the configuration, which would
   * otherwise accumulate.
   */
  private dropIdleStates(): void {
    for (const [name, {queue}] of this.states) {
      const configured = Object.hasOwn(this.classes, name);
      if (!configured && queue.length === 0) this.states.delete(name);
    }
  }

  private isEvictedBefore(entry: E, other: E): boolean {
    const tier = this.getTier(entry.className);
    const otherTier = this.getTier(other.className);
    if (tier !== otherTier) return tier > otherTier;
    return entry.deadlineAtMs > other.deadlineAtMs;
  }
}

interface Candidate {
  state: {tier: number; credit: number; dueSinceGrant: number | undefined};
  entry: SchedulerEntry;
}

function isDue({credit}: {credit: number}): boolean {
  return credit >= 1 - creditTolerance;
}

/**
 * Classes that are due come first, in the order in which they became due.
 * Ordering them by credit would let a class with a large share overtake one
 * with a small share twice, which would break the bound on its wait.
 */
function isBefore(a: Candidate, b: Candidate): boolean {
  const aDue = a.state.dueSinceGrant ?? Infinity;
  const bDue = b.state.dueSinceGrant ?? Infinity;
  if (aDue !== bDue) return aDue < bDue;
  if (aDue !== Infinity && a.state.credit !== b.state.credit) {
    return a.state.credit > b.state.credit;
  }
  if (a.state.tier !== b.state.tier) return a.state.tier < b.state.tier;
  return a.entry.deadlineAtMs < b.entry.deadlineAtMs;
}
