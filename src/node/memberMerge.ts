/** Merge of statements about one member; its result has no order. */
import {MemberState, type Member} from '../protocol/memberMessages.js';

/** What is known of one incarnation. */
export interface Statement {
  /** The newest statement. */
  member: Member;
  /** True once the member said that it leaves; never false again. */
  leaving: boolean;
}

/** Rank of states that carry the same sequence number: the higher one wins. */
const stateRank: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

const rankCount = 4;

/**
 * Position of a statement among those about one incarnation. A member raises
 * its sequence number to refute what others say of it, also its death.
 */
export function computeStatementOrder(member: Member): number {
  return member.sequence * rankCount + stateRank[member.state];
}

/** Wraps a statement as it was received. */
export function createStatement(member: Member): Statement {
  return {member, leaving: member.state === MemberState.Leaving};
}

/**
 * Joins two statements about one incarnation: commutative, associative and
 * idempotent, so that members agree whatever the order of messages. The load
 * isn't part of a statement and stays that of the known one.
 */
export function mergeStatements(known: Statement, next: Statement): Statement {
  const newer =
    computeStatementOrder(next.member) > computeStatementOrder(known.member);
  return {
    member: newer ? {...next.member, load: known.member.load} : known.member,
    leaving: known.leaving || next.leaving,
  };
}

/** The member as others see it: one that leaves is never alive again. */
export function resolveStatement({member, leaving}: Statement): Member {
  if (!leaving || member.state === MemberState.Dead) return member;
  return member.state === MemberState.Leaving
    ? member
    : {...member, state: MemberState.Leaving};
}
