/** Membership: which daemons there are, and in what state. */
import crypto from 'node:crypto';
import {
  MemberRole,
  MemberState,
  type Member,
} from '../protocol/memberMessages.js';
import {VmState, type VmList} from '../protocol/platformApi.js';
import type {Log} from './log.js';
import {
  createStatement,
  mergeStatements,
  resolveStatement,
  type Statement,
} from './memberMerge.js';

/** A suspect that doesn't refute within this time is dead. */
export const suspectTimeoutMs = 3_000;
/** Dead members are forgotten after this time. */
const deadRetentionMs = 10 * 60_000;
/** Digits of the start time in an incarnation id; enough until the year 5188. */
const startTimeDigits = 9;

export type MembershipListener = () => void;
/** Gets what this process itself has to say, for the broadcast. */
export type StatementListener = (member: Member) => void;

interface Entry {
  statement: Statement;
  /** The member as others see it. */
  view: Member;
  changedAtMs: number;
  /** When the running suspicion began. */
  suspectedAtMs?: number;
  /** True when this process itself got no answer. */
  suspectedHere: boolean;
}

/** Parts of its own record that a process changes. */
export type SelfChange = Partial<Pick<Member, 'state' | 'configUnreachable'>>;

/**
 * Creates the id of one start of a process. Ids sort by start time, so that
 * members agree on which of two processes at one address is the later one.
 */
export function createIncarnation(): string {
  const startTime = Date.now().toString(36).padStart(startTimeDigits, '0');
  return `${startTime}-${crypto.randomBytes(9).toString('base64url')}`;
}

/**
 * View of the fleet. Statements about a member are merged without regard to
 * the order in which they arrive. Of several processes at one address only the
 * one that started last counts as present.
 */
export class Membership {
  private readonly entries = new Map<string, Entry>();
  private readonly byAddress = new Map<string, Set<string>>();
  private readonly listeners = new Set<MembershipListener>();
  private statementListener: StatementListener = () => {};
  private leavingVms = new Set<string>();
  /** Incarnations that the VM list has marked; a mark is never taken back. */
  private readonly markedLeaving = new Set<string>();
  private listedVms = new Map<string, string>();
  private lastExpiryAtMs = performance.now();

  constructor(
    private self: Member,
    private readonly log: Log,
  ) {
    this.put(self.incarnation, createStatement(self));
  }

  /** What this process says of itself. */
  getSelf(): Member {
    return this.self;
  }

  /**
   * Calls the listener after each change of the set, of a state or of the VM
   * list. Returns a function that ends the calls.
   */
  subscribe(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Sets the one listener for statements that this process has to spread. */
  setStatementListener(listener: StatementListener): void {
    this.statementListener = listener;
  }

  /**
   * Changes what this process says of itself, under a new sequence number. A
   * process that leaves can only become dead, and a dead one stays dead.
   */
  updateSelf(change: SelfChange): Member {
    const {state} = this.self;
    const final =
      state === MemberState.Dead ||
      (state === MemberState.Leaving && change.state !== MemberState.Dead);
    const sequence = this.self.sequence + 1;
    this.setSelf({
      ...this.self,
      ...change,
      ...(final ? {state} : {}),
      sequence,
    });
    return this.self;
  }

  /** Sets the load that pings carry; not a change of state. */
  setLoad(load: number): void {
    this.self = {...this.self, load};
    this.setEntryLoad(this.self.incarnation, load);
  }

  /**
   * Takes a statement about a member; `direct` says that the member made it in
   * this very message. Returns whether it was news. A false statement about
   * this process is refuted.
   */
  merge(member: Member, {direct = false} = {}): boolean {
    if (member.incarnation === this.self.incarnation) {
      this.rejectClaim(member);
      return false;
    }
    if (member.peerAddress === this.self.peerAddress) {
      return this.endPredecessor(member);
    }
    const known = this.entries.get(member.incarnation);
    const next = createStatement(member);
    const merged = known ? mergeStatements(known.statement, next) : next;
    const news =
      !known ||
      merged.member !== known.statement.member ||
      merged.leaving !== known.statement.leaving;
    if (news) this.put(member.incarnation, merged);
    if (direct) this.noteContact(member);
    return news;
  }

  /** Marks a member that didn't answer; returns a statement to spread. */
  suspect(incarnation: string): Member | undefined {
    const known = this.entries.get(incarnation);
    if (!known || known.view.state === MemberState.Dead) return undefined;
    known.suspectedHere = true;
    known.suspectedAtMs ??= performance.now();
    // Suspicion must not hide that a member leaves, so it stays local then.
    if (known.view.state !== MemberState.Alive) return undefined;
    return this.putState(incarnation, MemberState.Suspect);
  }

  /** Members that this process got no answer from and that may be alive. */
  listSuspectedHere(): Member[] {
    return [...this.entries.values()]
      .filter(entry => entry.suspectedHere)
      .map(entry => entry.view);
  }

  /**
   * Declares suspects dead whose time to refute is over; returns them. To be
   * called every second: after a longer gap this process was paused and could
   * not hear the suspects, so they get the whole time again.
   */
  expireSuspects(): Member[] {
    const nowMs = performance.now();
    if (nowMs - this.lastExpiryAtMs > suspectTimeoutMs)
      this.restartSuspicions();
    this.lastExpiryAtMs = nowMs;
    const expired: Member[] = [];
    for (const [incarnation, entry] of [...this.entries]) {
      const {suspectedAtMs, view} = entry;
      const expires =
        suspectedAtMs !== undefined &&
        nowMs - suspectedAtMs >= suspectTimeoutMs;
      if (expires) {
        expired.push(this.putState(incarnation, MemberState.Dead));
      }
      const forgets =
        view.state === MemberState.Dead &&
        nowMs - entry.changedAtMs > deadRetentionMs;
      if (forgets) this.forget(incarnation);
    }
    return expired;
  }

  /** Takes the platform's list: leaving marks and the number of VMs. */
  applyVmList(list: VmList): void {
    const leaving = list.entryVms.filter(vm => vm.state === VmState.Leaving);
    this.leavingVms = new Set(leaving.map(vm => vm.vm));
    const countBefore = this.markedLeaving.size + this.listedVms.size;
    this.listedVms = new Map(list.entryVms.map(vm => [vm.vm, vm.address]));
    for (const {view} of this.entries.values()) this.markIfListedLeaving(view);
    const countAfter = this.markedLeaving.size + this.listedVms.size;
    if (countAfter !== countBefore) this.announceChange();
  }

  /** Number of VMs on the platform's list; 0 before the first read. */
  countListedVms(): number {
    return this.listedVms.size;
  }

  /** IP addresses on the platform's list. */
  listVmAddresses(): string[] {
    return [...this.listedVms.values()];
  }

  /** Members that may be alive: not dead; this process is among them. */
  listPresent(role?: MemberRole): Member[] {
    return this.listAll().filter(
      member =>
        member.state !== MemberState.Dead &&
        (role === undefined || member.role === role),
    );
  }

  /** Members that take new work: alive or suspect, and not leaving. */
  listServing(role: MemberRole): Member[] {
    return this.listPresent(role).filter(
      member =>
        member.state !== MemberState.Leaving &&
        !this.markedLeaving.has(member.incarnation),
    );
  }

  /** All members that are remembered, the dead included. */
  listAll(): Member[] {
    return [...this.entries.values()].map(({view}) => view);
  }

  /** Looks up a member by incarnation. */
  find(incarnation: string): Member | undefined {
    return this.entries.get(incarnation)?.view;
  }

  /** Looks up the last process that is known at an address, dead or not. */
  findLastAt(peerAddress: string): Member | undefined {
    const incarnations = [...(this.byAddress.get(peerAddress) ?? [])];
    const last = incarnations.sort().at(-1);
    return last === undefined ? undefined : this.find(last);
  }

  /** Short digest of the view; equal views have equal digests. */
  computeDigest(): string {
    const lines = this.listAll()
      .map(m => `${m.incarnation} ${m.state} ${m.sequence}`)
      .sort();
    return crypto
      .createHash('sha256')
      .update(lines.join('\n'))
      .digest('base64url')
      .slice(0, 8);
  }

  private rejectClaim(member: Member): void {
    const {state, sequence} = this.self;
    const claimed =
      member.state === MemberState.Suspect || member.state === MemberState.Dead;
    // A process that has said farewell doesn't refute its own farewell.
    if (state === MemberState.Dead) return;
    if (!claimed || member.sequence < sequence) return;
    this.setSelf({...this.self, sequence: member.sequence + 1});
    this.statementListener(this.self);
  }

  /** Another process at this process's own address has ended. */
  private endPredecessor(member: Member): boolean {
    const known = this.entries.get(member.incarnation)?.statement.member;
    const {sequence} = member;
    const alive = member.state !== MemberState.Dead;
    if (known && (!alive || sequence < known.sequence)) return false;
    const dead = {
      ...member,
      state: MemberState.Dead,
      sequence: alive ? sequence + 1 : sequence,
    };
    this.put(member.incarnation, createStatement(dead));
    if (alive) this.statementListener(dead);
    return !alive;
  }

  /** A member spoke: its load is known, and others at its address are gone. */
  private noteContact(member: Member): void {
    const entry = this.entries.get(member.incarnation);
    if (entry?.view.state === MemberState.Leaving) this.endSuspicion(entry);
    this.setEntryLoad(member.incarnation, member.load);
    if (member.state === MemberState.Dead) return;
    for (const other of this.byAddress.get(member.peerAddress) ?? []) {
      if (other === member.incarnation) continue;
      const {statement} = this.entries.get(other)!;
      if (statement.member.state === MemberState.Dead) continue;
      this.statementListener(this.putState(other, MemberState.Dead));
    }
  }

  private setSelf(self: Member): void {
    this.self = self;
    this.put(self.incarnation, createStatement(self));
  }

  private setEntryLoad(incarnation: string, load: number): void {
    const entry = this.entries.get(incarnation);
    if (!entry || entry.view.load === load) return;
    const {statement} = entry;
    entry.statement = {...statement, member: {...statement.member, load}};
    entry.view = {...entry.view, load};
  }

  private putState(incarnation: string, state: MemberState): Member {
    const {statement} = this.entries.get(incarnation)!;
    const member = {...statement.member, state};
    this.put(incarnation, {...statement, member});
    return member;
  }

  private put(incarnation: string, statement: Statement): void {
    const before = this.entries.get(incarnation);
    const nowMs = performance.now();
    const {member} = statement;
    const suspected = member.state === MemberState.Suspect;
    this.entries.set(incarnation, {
      statement,
      view: before?.view ?? member,
      changedAtMs: nowMs,
      suspectedHere: suspected && (before?.suspectedHere ?? false),
      ...(suspected ? {suspectedAtMs: before?.suspectedAtMs ?? nowMs} : {}),
    });
    const group = this.byAddress.get(member.peerAddress) ?? new Set();
    this.byAddress.set(member.peerAddress, group.add(incarnation));
    this.refreshViews(group, before ? undefined : incarnation);
  }

  /** Recomputes the views of the processes at one address. */
  private refreshViews(group: Set<string>, added?: string): void {
    let changed = false;
    let replaced = false;
    for (const incarnation of [...group].sort().reverse()) {
      const entry = this.entries.get(incarnation)!;
      const resolved = resolveStatement(entry.statement);
      const isSelf = incarnation === this.self.incarnation;
      const view =
        replaced && !isSelf ? {...resolved, state: MemberState.Dead} : resolved;
      replaced ||= resolved.state !== MemberState.Dead;
      const same =
        incarnation !== added &&
        view.state === entry.view.state &&
        view.configUnreachable === entry.view.configUnreachable;
      entry.view = view;
      if (view.state === MemberState.Dead) this.endSuspicion(entry);
      if (same) continue;
      changed = true;
      this.markIfListedLeaving(view);
      this.noteState(view);
    }
    if (changed) this.announceChange();
  }

  private restartSuspicions(): void {
    for (const entry of this.entries.values()) {
      if (entry.suspectedAtMs === undefined) continue;
      entry.suspectedAtMs = performance.now();
    }
  }

  private endSuspicion(entry: Entry): void {
    entry.suspectedHere = false;
    delete entry.suspectedAtMs;
  }

  private markIfListedLeaving(member: Member): void {
    if (!this.leavingVms.has(member.vm)) return;
    this.markedLeaving.add(member.incarnation);
  }

  private forget(incarnation: string): void {
    const address = this.entries.get(incarnation)?.view.peerAddress ?? '';
    const group = this.byAddress.get(address);
    group?.delete(incarnation);
    if (group?.size === 0) this.byAddress.delete(address);
    this.entries.delete(incarnation);
    this.markedLeaving.delete(incarnation);
  }

  private noteState({incarnation, role, vm, state}: Member): void {
    const fields = {member: incarnation, role, vm, state};
    this.log.note('member changed state', fields);
  }

  private announceChange(): void {
    for (const listener of this.listeners) listener();
  }
}
