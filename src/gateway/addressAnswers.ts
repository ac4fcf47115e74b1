/** Answers to callers that ask which of the system's addresses to use. */
import type {DaemonNode} from '../node/daemonNode.js';
import type {AddressAnswer} from '../protocol/callerApi.js';
import {MemberRole, type Member} from '../protocol/memberMessages.js';
import type {ExpiryClock} from './expiryClock.js';
import {prefixLifeMs, type PrefixSealer} from './operationPrefix.js';

/** Callers keep an answer for this time. */
const ttlSeconds = 30;
const maxAddresses = 8;
/** Added to a gateway's distance at full load, in milliseconds. */
const fullLoadPenaltyMs = 5;

/** Builds address answers from the membership. */
export class AddressAnswers {
  constructor(
    private readonly node: DaemonNode,
    private readonly sealer: PrefixSealer,
    private readonly clock: ExpiryClock,
  ) {}

  /** Lists gateways near a zone, with an operation prefix of this process. */
  build(customerId: string, zone: string): AddressAnswer {
    const gateways = this.node.membership
      .listServing(MemberRole.Gateway)
      .map(member => ({member, cost: this.computeCost(member, zone)}))
      .sort((a, b) => a.cost - b.cost)
      .slice(0, maxAddresses)
      .map(({member}) => ({url: member.callerUrl ?? '', zone: member.zone}));
    const self = this.node.membership.getSelf();
    const expiresAtMs = this.clock.getNowMs() + prefixLifeMs;
    return {
      addresses: gateways,
      ttlSeconds,
      operationPrefix: {
        prefix: this.sealer.seal({
          issuer: self.incarnation,
          peerAddress: self.peerAddress,
          customerId,
          expiresAtMs,
        }),
        expiresAt: new Date(expiresAtMs).toISOString(),
      },
    };
  }

  private computeCost(member: Member, zone: string): number {
    const zones = this.node.config.getConfiguration()?.zones ?? {};
    const distanceMs =
      member.zone === zone ? 0 : (zones[zone]?.[member.zone] ?? 1);
    // The random part spreads callers over gateways of equal distance and load.
    const spread = Math.random() * 0.5;
    return distanceMs + member.load * fullLoadPenaltyMs + spread;
  }
}
