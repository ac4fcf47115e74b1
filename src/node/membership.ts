/** Membership: the daemons of the fleet and their states. */
import crypto from 'node:crypto';
import {
  MemberRole,
  MemberState,
  type Member,
} from '../protocol/memberMessages.js';
import {VmState, type VmList} from '../protocol/platformApi.js';
import type {Log} from './log.js';
import {
  createRecord,
  mergeRecords,
  resolveRecord,
  type MemberRecord,
} from './memberMerge.js';

/** A suspect that doesn't refute the suspicion within this time is dead. */
export const suspectTimeoutMs = 3_000;
/** Dead members are forgotten after this time. */
const deadRetentionMs = 10 * 60_000;
/**
 * Digits of the start time in an incarnation id; enough until the year 5188.
 */
const startTimeDigits = 9;

export type MembershipListener = () => void;
/** Receives each update that this process originates, to broadcast it. */
export type UpdateListener = (member: Member) => void;

interface Entry {
  record: MemberRecord;
  /** The member as the methods of `Membership` return it. */
  view: Member;
  changedAtMs: number;
  /** Start of the current suspicion. */
  suspectedAtMs?: number;
  /** True when this process's own probe got no answer. */
  suspectedLocally: boolean;
}

/** Fields of its own member record that a process changes. */
export type SelfChange = Partial<Pick<Member, 'state' | 'configUnreachable'>>;

/**
 * Creates an incarnation id, which identifies one run of a process. Ids sort by
 * start time, so members agree on which of two processes at one address started
 * later.
 */
export function createIncarnation(): string {
  const startTime = Date.now().toString(36).padStart(startTimeDigits, '0');
  return `${startTime}-${crypto.randomBytes(9).toString('base64url')}`;
}

/**
 * View of the fleet. Updates about a member are merged independently of the
 * order in which they arrive. Of several processes at one address, only the one
 * that started last counts as present.
 */
export class Membership {
  private readonly entries = new Map<string, Entry>();
  private readonly incarnationsByAddress = new Map<string, Set<string>>();
  private readonly listeners = new Set<MembershipListener>();
  private updateListener: UpdateListener = () => {};
  private leavingVms = new Set<string>();
  /**
   * Incarnations that the VM list showed as leaving; they are never unmarked.
   */
  private readonly markedLeaving = new Set<string>();
  /** IP addresses on the VM list, by VM. */
  private listedVms = new Map<string, string>();
  private lastExpiryAtMs = performance.now();

  constructor(
    private self: Member,
    private readonly log: Log,
  ) {
    this.putRecord(self.incarnation, createRecord(self));
  }

  /** Returns this process's own member record. */
  getSelf(): Member {
    return this.self;
  }

  /**
   * Calls the listener after a member is added or changes its state or
   * `configUnreachable`, and after the VM list adds or removes VMs or marks
   * members as leaving. Returns a function that unsubscribes.
   */
  subscribe(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Sets the single listener for updates that this process originates. */
  setUpdateListener(listener: UpdateListener): void {
    this.updateListener = listener;
  }

  /**
   * Changes this process's own record and raises its sequence number. A leaving
   * process can only become dead, and a dead one stays dead.
   */
  updateSelf(change: SelfChange): Member {
    const {state} = this.self;
    const keepsState =
      state === MemberState.Dead ||
      (state === MemberState.Leaving && change.state !== MemberState.Dead);
    const sequence = this.self.sequence + 1;
    this.setSelf({
      ...this.self,
      ...change,
      ...(keepsState ? {state} : {}),
      sequence,
    });
    return this.self;
  }

  /** Sets the load that pings carry, without a new sequence number. */
  setLoad(load: number): void {
    this.self = {...this.self, load};
    this.setEntryLoad(this.self.incarnation, load);
  }

  /**
   * Merges an update about a member; `direct` means that the member itself sent
   * it in this message. Returns whether the update is new, so that the caller
   * broadcasts it. Refutes updates that claim this process to be suspect or
   * dead.
   */
  merge(member: Member, {direct = false} = {}): boolean {
    if (member.incarnation === this.self.incarnation) {
      this.rejectClaim(member);
      return false;
    }
    if (member.peerAddress === this.self.peerAddress) {
      return this.mergePredecessor(member);
    }
    const known = this.entries.get(member.incarnation);
    const next = createRecord(member);
    const merged = known ? mergeRecords(known.record, next) : next;
    const isNew =
      !known ||
      merged.member !== known.record.member ||
      merged.leaving !== known.record.leaving;
    if (isNew) this.putRecord(member.incarnation, merged);
    if (direct) this.recordDirectContact(member);
    return isNew;
  }

  /** Suspects a member that didn't answer; returns the update to broadcast. */
  suspect(incarnation: string): Member | undefined {
    const known = this.entries.get(incarnation);
    if (!known || known.view.state === MemberState.Dead) return undefined;
    known.suspectedLocally = true;
    known.suspectedAtMs ??= performance.now();
    // The suspicion of a leaving member stays local, because broadcasting it
    // would hide that the member leaves.
    if (known.view.state !== MemberState.Alive) return undefined;
    return this.putState(incarnation, MemberState.Suspect);
  }

  /** Lists the members that this process suspects after its own probes. */
  listLocalSuspects(): Member[] {
    return [...this.entries.values()]
      .filter(entry => entry.suspectedLocally)
      .map(entry => entry.view);
  }

  /**
   * Declares the suspects dead that did not refute in time; returns them. Must
   * be called every second: a gap above the suspect timeout means that this
   * process was paused and could not receive refutations, so the timeouts start
   * again.
   */
  expireSuspects(): Member[] {
    const nowMs = performance.now();
    if (nowMs - this.lastExpiryAtMs > suspectTimeoutMs)
      this.restartSuspicionTimeouts();
    this.lastExpiryAtMs = nowMs;
    const expired: Member[] = [];
    for (const [incarnation, entry] of [...this.entries]) {
      const {suspectedAtMs, view} = entry;
      const isExpired =
        suspectedAtMs !== undefined &&
        nowMs - suspectedAtMs >= suspectTimeoutMs;
      if (isExpired) {
        expired.push(this.putState(incarnation, MemberState.Dead));
      }
      const isRetentionOver =
        view.state === MemberState.Dead &&
        nowMs - entry.changedAtMs > deadRetentionMs;
      if (isRetentionOver) this.forget(incarnation);
    }
    return expired;
  }

  /** Applies the platform's VM list: its addresses and the VMs that leave. */
  applyVmList(list: VmList): void {
    const leaving = list.entryVms.filter(vm => vm.state === VmState.Leaving);
    this.leavingVms = new Set(leaving.map(vm => vm.vm));
    const countBefore = this.markedLeaving.size + this.listedVms.size;
    this.listedVms = new Map(list.entryVms.map(vm => [vm.vm, vm.address]));
    for (const {view} of this.entries.values()) this.markIfListedLeaving(view);
    const countAfter = this.markedLeaving.size + this.listedVms.size;
    if (countAfter !== countBefore) this.notifyListeners();
  }

  /** Returns the number of VMs on the VM list; 0 before the first read. */
  countListedVms(): number {
    return this.listedVms.size;
  }

  /** Lists the IP addresses on the VM list. */
  listVmAddresses(): string[] {
    return [...this.listedVms.values()];
  }

  /** Lists the members that are not dead, this process included. */
  listPresent(role?: MemberRole): Member[] {
    return this.listAll().filter(
      member =>
        member.state !== MemberState.Dead &&
        (role === undefined || member.role === role),
    );
  }

  /** Lists the members that take new work: alive or suspect, not leaving. */
  listServing(role: MemberRole): Member[] {
    return this.listPresent(role).filter(
      member =>
        member.state !== MemberState.Leaving &&
        !this.markedLeaving.has(member.incarnation),
    );
  }

  /** Lists all remembered members, dead ones included. */
  listAll(): Member[] {
    return [...this.entries.values()].map(({view}) => view);
  }

  find(incarnation: string): Member | undefined {
    return this.entries.get(incarnation)?.view;
  }

  /** Finds the process at an address that started last, dead or not. */
  findLatestAt(peerAddress: string): Member | undefined {
    const incarnations = [
      ...(this.incarnationsByAddress.get(peerAddress) ?? []),
    ];
    const last = incarnations.sort().at(-1);
    return last === undefined ? undefined : this.find(last);
  }

  /** Returns a short digest of the view; equal views have equal digests. */
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

  /** Refutes an update that claims this process to be suspect or dead. */
  private rejectClaim(member: Member): void {
    const {state, sequence} = this.self;
    const isAccused =
      member.state === MemberState.Suspect || member.state === MemberState.Dead;
    // A process that has announced its own death doesn't refute it.
    if (state === MemberState.Dead) return;
    if (!isAccused || member.sequence < sequence) return;
    this.setSelf({...this.self, sequence: member.sequence + 1});
    this.updateListener(this.self);
  }

  /**
   * Handles an update about another process at this process's own address,
   * which must have ended: records it as dead and broadcasts that if needed.
   */
  private mergePredecessor(member: Member): boolean {
    const known = this.entries.get(member.incarnation)?.record.member;
    const {sequence} = member;
    const alive = member.state !== MemberState.Dead;
    if (known && (!alive || sequence < known.sequence)) return false;
    const dead = {
      ...member,
      state: MemberState.Dead,
      sequence: alive ? sequence + 1 : sequence,
    };
    this.putRecord(member.incarnation, createRecord(dead));
    if (alive) this.updateListener(dead);
    return !alive;
  }

  /**
   * Handles a message from the member itself: stores its load and declares
   * other processes at its address dead.
   */
  private recordDirectContact(member: Member): void {
    const entry = this.entries.get(member.incarnation);
    if (entry?.view.state === MemberState.Leaving) this.clearSuspicion(entry);
    this.setEntryLoad(member.incarnation, member.load);
    if (member.state === MemberState.Dead) return;
    for (const other of this.incarnationsByAddress.get(member.peerAddress) ??
      []) {
      if (other === member.incarnation) continue;
      const {record} = this.entries.get(other)!;
      if (record.member.state === MemberState.Dead) continue;
      this.updateListener(this.putState(other, MemberState.Dead));
    }
  }

  private setSelf(self: Member): void {
    this.self = self;
    this.putRecord(self.incarnation, createRecord(self));
  }

  private setEntryLoad(incarnation: string, load: number): void {
    const entry = this.entries.get(incarnation);
    if (!entry || entry.view.load === load) return;
    const {record} = entry;
    entry.record = {...record, member: {...record.member, load}};
    entry.view = {...entry.view, load};
  }

  private putState(incarnation: string, state: MemberState): Member {
    const {record} = this.entries.get(incarnation)!;
    const member = {...record.member, state};
    this.putRecord(incarnation, {...record, member});
    return member;
  }

  private putRecord(incarnation: string, record: MemberRecord): void {
    const before = this.entries.get(incarnation);
    const nowMs = performance.now();
    const {member} = record;
    const isSuspect = member.state === MemberState.Suspect;
    this.entries.set(incarnation, {
      record,
      view: before?.view ?? member,
      changedAtMs: nowMs,
      suspectedLocally: isSuspect && (before?.suspectedLocally ?? false),
      ...(isSuspect ? {suspectedAtMs: before?.suspectedAtMs ?? nowMs} : {}),
    });
    const incarnations =
      this.incarnationsByAddress.get(member.peerAddress) ?? new Set();
    this.incarnationsByAddress.set(
      member.peerAddress,
      incarnations.add(incarnation),
    );
    this.refreshViews(incarnations, before ? undefined : incarnation);
  }

  /**
   * Recomputes the views of the processes at one address. All that started
   * before the latest live one count as dead, except this process itself.
   */
  private refreshViews(
    incarnations: Set<string>,
    addedIncarnation?: string,
  ): void {
    let changed = false;
    let hasNewerProcess = false;
    for (const incarnation of [...incarnations].sort().reverse()) {
      const entry = this.entries.get(incarnation)!;
      const resolved = resolveRecord(entry.record);
      const isSelf = incarnation === this.self.incarnation;
      const view =
        hasNewerProcess && !isSelf
          ? {...resolved, state: MemberState.Dead}
          : resolved;
      hasNewerProcess ||= resolved.state !== MemberState.Dead;
      const isUnchanged =
        incarnation !== addedIncarnation &&
        view.state === entry.view.state &&
        view.configUnreachable === entry.view.configUnreachable;
      entry.view = view;
      if (view.state === MemberState.Dead) this.clearSuspicion(entry);
      if (isUnchanged) continue;
      changed = true;
      this.markIfListedLeaving(view);
      this.logState(view);
    }
    if (changed) this.notifyListeners();
  }

  private restartSuspicionTimeouts(): void {
    for (const entry of this.entries.values()) {
      if (entry.suspectedAtMs === undefined) continue;
      entry.suspectedAtMs = performance.now();
    }
  }

  private clearSuspicion(entry: Entry): void {
    entry.suspectedLocally = false;
    delete entry.suspectedAtMs;
  }

  private markIfListedLeaving(member: Member): void {
    if (!this.leavingVms.has(member.vm)) return;
    this.markedLeaving.add(member.incarnation);
  }

  private forget(incarnation: string): void {
    const address = this.entries.get(incarnation)?.view.peerAddress ?? '';
    const incarnations = this.incarnationsByAddress.get(address);
    incarnations?.delete(incarnation);
    if (incarnations?.size === 0) this.incarnationsByAddress.delete(address);
    this.entries.delete(incarnation);
    this.markedLeaving.delete(incarnation);
  }

  private logState({incarnation, role, vm, state}: Member): void {
    const fields = {member: incarnation, role, vm, state};
    this.log.note('member changed state', fields);
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}
