/** Source from which gateways draw a customer's budget. */
import {err, type Result} from 'neverthrow';
import type {DaemonNode} from '../node/daemonNode.js';
import {pickByWeight} from '../node/rendezvous.js';
import {PeerError} from '../protocol/errors.js';
import type {DrawLimitAnswer} from '../protocol/leaseMessages.js';
import {MemberRole} from '../protocol/memberMessages.js';

/** Requests and tokens that a gateway asks for. */
export interface LimitDemand {
  requests: number;
  tokens: number;
}

/** Allocates slices of a customer's budget. */
export interface LimitSource {
  draw(
    customerId: string,
    demand: LimitDemand,
  ): Promise<Result<DrawLimitAnswer, PeerError>>;
}

/** Without an answer within this time, a gateway uses its equal share. */
const drawDeadlineMs = 150;

/**
 * Draws from the dispatcher that a customer's id selects by rendezvous hashing.
 */
export class DispatcherLimitSource implements LimitSource {
  constructor(
    private readonly node: Pick<DaemonNode, 'membership' | 'links'>,
  ) {}

  async draw(
    customerId: string,
    demand: LimitDemand,
  ): Promise<Result<DrawLimitAnswer, PeerError>> {
    const {membership, links} = this.node;
    const dispatcher = pickByWeight(
      customerId,
      membership.listServing(MemberRole.Dispatcher),
      member => member.incarnation,
    );
    if (!dispatcher) return err(new PeerError('none', 'no dispatcher serves'));
    const gateway = membership.getSelf().incarnation;
    return links.callDispatcher(
      dispatcher.peerAddress,
      drawDeadlineMs,
      (client, signal) =>
        client.limits.draw.mutate(
          {customer: customerId, gateway, ...demand},
          {signal},
        ),
    );
  }
}
