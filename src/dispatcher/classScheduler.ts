/** Order in which the waiting requests of one backend server are granted. */
import {tierCount} from '../config/configuration.js';
import {FairQueue} from './fairQueue.js';

/** Share of grants kept for all classes without a minimum share together. */
export const floorReserve = 0.1;
/** Largest share of one class without a minimum share. */
export const maxFloorShare = 0.01;
/** Limits the credit of a class all of whose requests are held back. */
const maxCredit = 2;
/** Sums of shares such as ten times 0.1 end just below 1. */
const creditTolerance = 1e-9;

/** What the scheduler needs to know of a class. */
export interface ScheduledClass {
  tier: number;
  minimumShare: number;
}

/** What the scheduler needs to know of a waiting request. */
export interface SchedulerEntry {
  readonly className: string;
  readonly customer: string;
  readonly deadlineAtMs: number;
}

/** The entry to serve next. */
export interface ScheduledPick<E> {
  entry: E;
  /** True when the class's minimum share puts the entry first. */
  due: boolean;
}

interface ClassState<E extends SchedulerEntry> {
  tier: number;
  share: number;
  credit: number;
  /** Grant at which the credit reached 1; undefined while it is below. */
  dueSince: number | undefined;
  queue: FairQueue<E>;
}

/**
 * Computes the share of grants of each class: its minimum share, or a floor
 * from a reserve, so that the wait of every class is bounded.
 *
 * @example
 * computeShares({a: {tier: 0, minimumShare: 0}}).get('a') === 0.01
 */
export function computeShares(
  classes: Readonly<Record<string, ScheduledClass>>,
): Map<string, number> {
  const entries = Object.entries(classes);
  const withoutShare = entries.filter(([, {minimumShare}]) => !minimumShare);
  const floor = Math.min(maxFloorShare, floorReserve / withoutShare.length);
  return new Map(
    entries.map(([name, {minimumShare}]) => [name, minimumShare || floor]),
  );
}

/**
 * Schedules by minimum-share credits, then strict tiers, then the earliest
 * deadline across the classes of a tier, then fairly between customers.
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
  private grants = 0;

  constructor(classes: Readonly<Record<string, ScheduledClass>>) {
    this.update(classes);
  }

  /** Takes new classes; waiting entries and credits stay. */
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

  /** Tier of a class; a class that isn't configured here yet has the lowest. */
  getTier(className: string): number {
    return Object.hasOwn(this.classes, className)
      ? this.classes[className].tier
      : tierCount - 1;
  }

  /** Adds an entry. */
  push(entry: E): void {
    this.getState(entry.className).queue.push(entry);
  }

  /** Removes an entry that isn't served; false when it doesn't wait. */
  remove(entry: E): boolean {
    const state = this.states.get(entry.className);
    if (!state?.queue.remove(entry)) return false;
    // Credit of a class without work must not grow into a burst.
    if (state.queue.length === 0) state.credit = Math.min(state.credit, 1);
    return true;
  }

  /** Returns the entry to serve next, without a change of state. */
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
    return {entry: best.entry, due: best.state.dueSince !== undefined};
  }

  /**
   * Removes an entry that is granted. Each waiting class earns its share; the
   * served class pays 1, but never falls below 0.
   */
  take(entry: E): void {
    this.grants += 1;
    for (const state of this.states.values()) {
      if (state.queue.length === 0) continue;
      state.credit = Math.min(state.credit + state.share, maxCredit);
      if (isDue(state)) state.dueSince ??= this.grants;
    }
    const state = this.getState(entry.className);
    state.queue.take(entry);
    state.credit = Math.max(0, state.credit - 1);
    // A class that is due again stands behind those that are due already.
    state.dueSince = isDue(state) ? this.grants : undefined;
  }

  /**
   * Returns the entry to drop from a queue that is too long: the latest
   * deadline of the lowest tier, never the last waiting entry of a class.
   */
  pickVictim(): E | undefined {
    let victim: E | undefined;
    for (const state of this.states.values()) {
      if (state.queue.length < 2) continue;
      for (const entry of state.queue.listEntries()) {
        if (!victim || this.isWorse(entry, victim)) victim = entry;
      }
    }
    return victim;
  }

  /** Lists the waiting entries in the order in which they would be granted. */
  listInGrantOrder(isEligible?: (entry: E) => boolean): E[] {
    const copy = new ClassScheduler<E>(this.classes);
    copy.grants = this.grants;
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

  /** Lists the waiting entries, in no special order. */
  listEntries(): E[] {
    return [...this.states.values()].flatMap(({queue}) => queue.listEntries());
  }

  /** State for the dump. */
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
      dueSince: undefined,
      queue: new FairQueue<E>(),
    };
    this.dropIdleStates();
    this.states.set(className, state);
    return state;
  }

  /** Keeps classes that left the configuration from adding up. */
  private dropIdleStates(): void {
    for (const [name, {queue}] of this.states) {
      const configured = Object.hasOwn(this.classes, name);
      if (!configured && queue.length === 0) this.states.delete(name);
    }
  }

  private isWorse(entry: E, other: E): boolean {
    const tier = this.getTier(entry.className);
    const otherTier = this.getTier(other.className);
    if (tier !== otherTier) return tier > otherTier;
    return entry.deadlineAtMs > other.deadlineAtMs;
  }
}

interface Candidate {
  state: {tier: number; credit: number; dueSince: number | undefined};
  entry: SchedulerEntry;
}

function isDue({credit}: {credit: number}): boolean {
  return credit >= 1 - creditTolerance;
}

/**
 * Classes that are due come first, the longest due before the others. The most
 * credit first would let a class with a large share pass one twice that has a
 * small share, and so break the bound.
 */
function isBefore(a: Candidate, b: Candidate): boolean {
  const aDue = a.state.dueSince ?? Infinity;
  const bDue = b.state.dueSince ?? Infinity;
  if (aDue !== bDue) return aDue < bDue;
  if (aDue !== Infinity && a.state.credit !== b.state.credit) {
    return a.state.credit > b.state.credit;
  }
  if (a.state.tier !== b.state.tier) return a.state.tier < b.state.tier;
  return a.entry.deadlineAtMs < b.entry.deadlineAtMs;
}
