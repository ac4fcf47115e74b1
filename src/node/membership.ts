/** Membership: which daemons there are, and in what state. */
import crypto from 'node:crypto';
import {
  MemberRole,
  MemberState,
  type Member,
} from '../protocol/memberMessages.js';
import {VmState, type VmList} from '../protocol/platformApi.js';
import type {Log} from './log.js';

/** A suspect that doesn't refute within this time is dead. */
export const suspectTimeoutMs = 3_000;
/** Dead members are forgotten after this time. */
const deadRetentionMs = 10 * 60_000;

export type MembershipListener = () => void;

interface Entry {
  member: Member;
  changedAtMs: number;
}

/** Rank of states that carry the same sequence number: the higher one wins. */
const stateRank: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

/** Creates the id of one start of a process. */
export function createIncarnation(): string {
  return crypto.randomBytes(9).toString('base64url');
}

/**
 * View of the fleet. A member's own statements and other members' suspicions
 * are ordered by the member's sequence number, then by the state's rank.
 */
export class Membership {
  private readonly entries = new Map<string, Entry>();
  private readonly listeners = new Set<MembershipListener>();
  private leavingVms = new Set<string>();
  private listedVms = new Map<string, string>();

  constructor(
    private self: Member,
    private readonly log: Log,
  ) {
    this.entries.set(self.incarnation, {member: self, changedAtMs: Date.now()});
  }

  /** What this process says of itself. */
  getSelf(): Member {
    return this.self;
  }

  /** Calls the listener after each change of the set or of a state. */
  subscribe(listener: MembershipListener): void {
    this.listeners.add(listener);
  }

  /** Changes what this process says of itself, under a new sequence number. */
  updateSelf(change: Partial<Pick<Member, 'state'>>): Member {
    const sequence = this.self.sequence + 1;
    this.self = {...this.self, ...change, sequence};
    this.store(this.self);
    return this.self;
  }

  /** Sets the load that pings carry; not a change of state. */
  setLoad(load: number): void {
    this.self = {...this.self, load};
    this.entries.set(this.self.incarnation, {
      member: this.self,
      changedAtMs: Date.now(),
    });
  }

  /**
   * Takes what another process says of a member. Returns whether it was news.
   * A suspicion of this process itself is refuted.
   */
  merge(member: Member): boolean {
    if (member.incarnation === this.self.incarnation) {
      return this.handleSuspicion(member);
    }
    const known = this.entries.get(member.incarnation);
    if (known && !isNewer(member, known.member)) {
      if (member.sequence === known.member.sequence) {
        known.member = {...known.member, load: member.load};
      }
      return false;
    }
    if (!known && member.state === MemberState.Dead) return false;
    this.replaceOlderIncarnations(member);
    this.store(member);
    return true;
  }

  /** Marks a member that didn't answer. */
  suspect(incarnation: string): Member | undefined {
    const known = this.entries.get(incarnation);
    if (!known || known.member.state !== MemberState.Alive) return undefined;
    const member = {...known.member, state: MemberState.Suspect};
    this.store(member);
    return member;
  }

  /** Declares suspects dead whose time to refute is over; returns them. */
  expireSuspects(): Member[] {
    const nowMs = Date.now();
    const expired: Member[] = [];
    for (const {member, changedAtMs} of [...this.entries.values()]) {
      const ageMs = nowMs - changedAtMs;
      if (member.state === MemberState.Dead && ageMs > deadRetentionMs) {
        this.entries.delete(member.incarnation);
      }
      if (member.state !== MemberState.Suspect) continue;
      if (ageMs < suspectTimeoutMs) continue;
      const dead = {...member, state: MemberState.Dead};
      this.store(dead);
      expired.push(dead);
    }
    return expired;
  }

  /** Takes the platform's list: leaving marks and the number of VMs. */
  applyVmList(list: VmList): void {
    const leaving = list.entryVms.filter(vm => vm.state === VmState.Leaving);
    this.leavingVms = new Set(leaving.map(vm => vm.vm));
    this.listedVms = new Map(list.entryVms.map(vm => [vm.vm, vm.address]));
    this.announceChange();
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
        member.state !== MemberState.Leaving && !this.leavingVms.has(member.vm),
    );
  }

  /** All members that are remembered, the dead included. */
  listAll(): Member[] {
    return [...this.entries.values()].map(({member}) => member);
  }

  /** Looks up a member by incarnation. */
  find(incarnation: string): Member | undefined {
    return this.entries.get(incarnation)?.member;
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

  private handleSuspicion(member: Member): boolean {
    const claimed =
      member.state === MemberState.Suspect || member.state === MemberState.Dead;
    if (!claimed || member.sequence < this.self.sequence) return false;
    this.self = {...this.self, sequence: member.sequence + 1};
    this.store(this.self);
    return true;
  }

  private replaceOlderIncarnations(member: Member): void {
    if (member.state === MemberState.Dead) return;
    for (const {member: other} of [...this.entries.values()]) {
      const replaced =
        other.peerAddress === member.peerAddress &&
        other.incarnation !== member.incarnation &&
        other.incarnation !== this.self.incarnation &&
        other.state !== MemberState.Dead;
      if (replaced) this.store({...other, state: MemberState.Dead});
    }
  }

  private store(member: Member): void {
    const before = this.entries.get(member.incarnation)?.member;
    this.entries.set(member.incarnation, {member, changedAtMs: Date.now()});
    if (before?.state === member.state) return;
    this.log.note('member changed state', {
      member: member.incarnation,
      role: member.role,
      vm: member.vm,
      state: member.state,
    });
    this.announceChange();
  }

  private announceChange(): void {
    for (const listener of this.listeners) listener();
  }
}

function isNewer(next: Member, known: Member): boolean {
  // Death is final for an incarnation, unless the member itself refutes it
  // under a higher sequence number, e.g. after a partition heals.
  if (next.sequence !== known.sequence) return next.sequence > known.sequence;
  return stateRank[next.state] > stateRank[known.state];
}
