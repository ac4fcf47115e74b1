/** Builds answers to `GET /v1/addresses`: which gateways a caller can use. */
import {err, ok, type Result} from 'neverthrow';
import type {Configuration} from '../config/configuration.js';
import type {Membership} from '../node/membership.js';
import type {AddressAnswer} from '../protocol/callerApi.js';
import {MemberRole, type Member} from '../protocol/memberMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {ExpiryClock} from './expiryClock.js';
import {buildShutdownRefusal} from './operationRecord.js';
import {prefixLifetimeMs, type PrefixSigner} from './operationPrefix.js';

/** Time for which callers may cache an answer. */
export const addressTtlSeconds = 30;
const maxAddresses = 8;
/** Added to a gateway's distance at full load; scales with the load. */
const fullLoadPenaltyMs = 5;
/** Distance between zones for which the configuration lists none. */
const unknownDistanceMs = 10;
/** Random cost that spreads callers over gateways of about equal cost. */
const tieBreakJitterMs = 0.5;
const notReadyRetryAfterMs = 500;

export interface AddressDependencies {
  membership: Pick<Membership, 'getSelf' | 'listServing'>;
  /** Undefined before this process is ready. */
  getConfiguration: () => Configuration | undefined;
  signer: PrefixSigner;
  clock: ExpiryClock;
  /** True once the gateway accepts no new operations. */
  isLeaving: () => boolean;
}

/** Lists the serving gateways by their cost for a caller. */
export class AddressAnswers {
  constructor(private readonly dependencies: AddressDependencies) {}

  /**
   * Lists gateways by distance from a zone, with a new operation prefix that
   * this process issues. A leaving gateway refuses, because its operation
   * records are about to move to another gateway.
   */
  build(
    customerId: string,
    zone: string | undefined,
  ): Result<AddressAnswer, Refusal> {
    const {membership, signer, clock, isLeaving} = this.dependencies;
    if (isLeaving()) return err(buildShutdownRefusal());
    const self = membership.getSelf();
    const addresses = this.listAddresses(zone ?? self.zone);
    if (addresses.length === 0) return err(buildNotReadyRefusal());
    const {incarnation: issuer, peerAddress} = self;
    const expiresAtMs = clock.getNowMs() + prefixLifetimeMs;
    const prefix = signer.createPrefix({
      issuer,
      peerAddress,
      customerId,
      expiresAtMs,
    });
    const expiresAt = new Date(expiresAtMs).toISOString();
    return ok({
      addresses,
      ttlSeconds: addressTtlSeconds,
      operationPrefix: {prefix, expiresAt},
    });
  }

  private listAddresses(zone: string): AddressAnswer['addresses'] {
    return this.dependencies.membership
      .listServing(MemberRole.Gateway)
      .flatMap(member =>
        member.callerUrl === undefined
          ? []
          : {
              url: member.callerUrl,
              zone: member.zone,
              cost: this.computeCost(member, zone),
            },
      )
      .sort((a, b) => a.cost - b.cost)
      .slice(0, maxAddresses)
      .map(({url, zone: memberZone}) => ({url, zone: memberZone}));
  }

  private computeCost(member: Member, zone: string): number {
    const zones = this.dependencies.getConfiguration()?.zones ?? {};
    const distances = Object.hasOwn(zones, zone) ? zones[zone] : {};
    const distanceMs =
      member.zone === zone ? 0 : (distances[member.zone] ?? unknownDistanceMs);
    return (
      distanceMs +
      member.load * fullLoadPenaltyMs +
      Math.random() * tieBreakJitterMs
    );
  }
}

function buildNotReadyRefusal(): Refusal {
  return new Refusal(
    RefusalReason.NotReady,
    Outcome.NotRun,
    'no gateway is ready to serve',
    {retryAfterMs: notReadyRetryAfterMs},
  );
}
