/** Membership queries that customer budgets depend on. */
import type {Membership} from '../node/membership.js';
import {pickByWeight} from '../node/rendezvous.js';
import {MemberRole, MemberState} from '../protocol/memberMessages.js';

/** Chooses allocators, and measures how much of the fleet is reachable. */
export class FleetView {
  constructor(private readonly membership: Membership) {}

  /** True when this dispatcher allocates the customer's budget. */
  isAllocator(customer: string): boolean {
    const dispatchers = this.membership.listServing(MemberRole.Dispatcher);
    const allocator = pickByWeight(
      customer,
      dispatchers,
      ({incarnation}) => incarnation,
    );
    const self = this.membership.getSelf().incarnation;
    return allocator?.incarnation === self;
  }

  /**
   * Ratio of the listed entry VMs whose gateway can be reached, 0 to 1. Budgets
   * are scaled by it, so that the two sides of a partition together stay within
   * a customer's limit.
   */
  getReachableRatio(): number {
    const listed = this.membership.countListedVms();
    if (listed === 0) return 1;
    const reachable = this.membership
      .listPresent(MemberRole.Gateway)
      .filter(({state}) => state !== MemberState.Suspect)
      .map(({vm}) => vm);
    return Math.min(1, new Set(reachable).size / listed);
  }
}
