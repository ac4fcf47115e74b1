/** What part of the fleet this dispatcher can reach. */
import type {Membership} from '../node/membership.js';
import {pickByWeight} from '../node/rendezvous.js';
import {MemberRole, MemberState} from '../protocol/memberMessages.js';

/** Views of the membership that the customers' budgets depend on. */
export class FleetShare {
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
   * Gateway VMs that can be reached as a part of those listed, so that the two
   * sides of a partition stay within a customer's limit together.
   */
  getReachablePart(): number {
    const listed = this.membership.countListedVms();
    if (listed === 0) return 1;
    const reachable = this.membership
      .listPresent(MemberRole.Gateway)
      .filter(({state}) => state !== MemberState.Suspect)
      .map(({vm}) => vm);
    return Math.min(1, new Set(reachable).size / listed);
  }
}
