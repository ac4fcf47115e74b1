/**
 * Merges updates about one member. The result is independent of the order in
 * which the updates arrive.
 */
import {MemberState, type Member} from '../protocol/memberMessages.js';

/** What is known about one incarnation. */
export interface MemberRecord {
  /** The newest update about the member. */
  member: Member;
  /** True once an update said that the member leaves; never reset. */
  leaving: boolean;
}

/** Precedence of states with equal sequence numbers: the higher one wins. */
const stateRank: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

const stateCount = 4;

/**
 * Returns a number that is higher for the newer of two updates about one
 * incarnation. A member refutes updates by others, also of its death, by
 * raising its sequence number.
 */
export function computeUpdateOrder(member: Member): number {
  return member.sequence * stateCount + stateRank[member.state];
}

/** Creates the record of a member from a single update. */
export function createRecord(member: Member): MemberRecord {
  return {member, leaving: member.state === MemberState.Leaving};
}

/**
 * Merges two records of one incarnation. The merge is commutative, associative
 * and idempotent, so members agree whatever the order of messages. The load
 * isn't merged; the known one is kept.
 */
export function mergeRecords(
  known: MemberRecord,
  next: MemberRecord,
): MemberRecord {
  const isNewer =
    computeUpdateOrder(next.member) > computeUpdateOrder(known.member);
  return {
    member: isNewer ? {...next.member, load: known.member.load} : known.member,
    leaving: known.leaving || next.leaving,
  };
}

/**
 * Returns the effective member: once it has been leaving, it counts as leaving
 * or dead, even when a newer update shows it as alive or suspect.
 */
export function resolveRecord({member, leaving}: MemberRecord): Member {
  if (!leaving || member.state === MemberState.Dead) return member;
  return member.state === MemberState.Leaving
    ? member
    : {...member, state: MemberState.Leaving};
}
