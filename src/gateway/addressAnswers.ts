/** Answers to callers that ask which of the system's addresses to use. */
import {err, ok, type Result} from 'neverthrow';
import type {Configuration} from '../config/configuration.js';
import type {Membership} from '../node/membership.js';
import type {AddressAnswer} from '../protocol/callerApi.js';
import {MemberRole, type Member} from '../protocol/memberMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {ExpiryClock} from './expiryClock.js';
import {buildShutdownRefusal} from './operationRecord.js';
import {prefixLifeMs, type PrefixSealer} from './operationPrefix.js';

/** Callers keep an answer for this time. */
export const addressTtlSeconds = 30;
const maxAddresses = 8;
/** Added to a gateway's distance at full load, in milliseconds. */
const fullLoadPenaltyMs = 5;
/** Distance of zones that the configuration doesn't list. */
const unknownDistanceMs = 10;
/** Spreads callers over gateways of about equal distance and load. */
const spreadMs = 0.5;
const notReadyRetryMs = 500;

export interface AddressParts {
  membership: Pick<Membership, 'getSelf' | 'listServing'>;
  /** Undefined before this process is ready. */
  getConfiguration: () => Configuration | undefined;
  sealer: PrefixSealer;
  clock: ExpiryClock;
  /** True once the gateway hands its records over. */
  isLeaving: () => boolean;
}

/** Builds address answers from the membership. */
export class AddressAnswers {
  constructor(private readonly parts: AddressParts) {}

  /**
   * Lists gateways near a zone, with a new operation prefix of this process.
   * A leaving gateway gives no prefix: its records move to another one.
   */
  build(
    customerId: string,
    zone: string | undefined,
  ): Result<AddressAnswer, Refusal> {
    const {membership, sealer, clock, isLeaving} = this.parts;
    if (isLeaving()) return err(buildShutdownRefusal());
    const self = membership.getSelf();
    const addresses = this.listAddresses(zone ?? self.zone);
    if (addresses.length === 0) return err(buildNotReadyRefusal());
    const {incarnation: issuer, peerAddress} = self;
    const expiresAtMs = clock.getNowMs() + prefixLifeMs;
    const prefix = sealer.seal({issuer, peerAddress, customerId, expiresAtMs});
    const expiresAt = new Date(expiresAtMs).toISOString();
    return ok({
      addresses,
      ttlSeconds: addressTtlSeconds,
      operationPrefix: {prefix, expiresAt},
    });
  }

  private listAddresses(zone: string): AddressAnswer['addresses'] {
    return this.parts.membership
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
    const zones = this.parts.getConfiguration()?.zones ?? {};
    const listed = Object.hasOwn(zones, zone) ? zones[zone] : {};
    const distanceMs =
      member.zone === zone ? 0 : (listed[member.zone] ?? unknownDistanceMs);
    return (
      distanceMs + member.load * fullLoadPenaltyMs + Math.random() * spreadMs
    );
  }
}

function buildNotReadyRefusal(): Refusal {
  return new Refusal(
    RefusalReason.NotReady,
    Outcome.NotRun,
    'no gateway is ready to serve',
    {retryAfterMs: notReadyRetryMs},
  );
}
