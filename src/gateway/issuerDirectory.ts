/** Looks up which gateway runs the operations of an issuer. */
import {pickByWeight} from '../node/rendezvous.js';
import type {Membership} from '../node/membership.js';
import {
  MemberRole,
  MemberState,
  type Member,
} from '../protocol/memberMessages.js';

export enum IssuerRouteKind {
  /** This process runs the operations. */
  Here = 'here',
  Peer = 'peer',
  /** Dead, replaced or unknown: no gateway can tell which operations ran. */
  Unavailable = 'unavailable',
}

export type IssuerRoute =
  | {kind: IssuerRouteKind.Here}
  | {kind: IssuerRouteKind.Peer; peerAddress: string}
  | {kind: IssuerRouteKind.Unavailable};

const unavailable: IssuerRoute = {kind: IssuerRouteKind.Unavailable};
/**
 * Announced successors kept; the oldest are dropped first. They are needed for
 * 25 min: the lifetime of a prefix plus the retention of its records.
 */
const maxSuccessors = 10_000;
/** Longest chain of handovers that is followed for one prefix. */
const maxFollowedHandovers = 8;

/**
 * Keeps the issuers that this process is responsible for, those that it handed
 * over, and the successors that other gateways announced.
 */
export class IssuerDirectory {
  private readonly adopted = new Set<string>();
  private readonly handedOver = new Map<string, Member>();
  private readonly successors = new Map<string, string>();

  constructor(private readonly membership: Membership) {}

  /** Lists the issuers whose operations this process runs. */
  listResponsibleIssuers(): string[] {
    return [this.getSelfId(), ...this.adopted].filter(
      issuer => !this.handedOver.has(issuer),
    );
  }

  /** True when this process runs the issuer's operations. */
  isResponsible(issuer: string): boolean {
    return (
      !this.handedOver.has(issuer) &&
      (issuer === this.getSelfId() || this.adopted.has(issuer))
    );
  }

  /** True when this process handed the issuer over to a successor. */
  isHandedOver(issuer: string): boolean {
    return this.handedOver.has(issuer);
  }

  /** Takes responsibility for an issuer whose records have all arrived. */
  adopt(issuer: string): void {
    this.adopted.add(issuer);
  }

  /**
   * Gives up responsibility for an issuer permanently. Must be called before
   * the successor can take it, so that two gateways never have it at once.
   */
  releaseAuthority(issuer: string, successor: Member): void {
    this.handedOver.set(issuer, successor);
  }

  /** Stores the announced successor of an issuer; later ones are ignored. */
  noteSuccessor(issuer: string, successor: string): void {
    if (this.successors.has(issuer)) return;
    this.successors.set(issuer, successor);
    if (this.successors.size <= maxSuccessors) return;
    const [oldest] = this.successors.keys();
    this.successors.delete(oldest);
  }

  /**
   * Picks the successor by rendezvous hashing over the alive gateways, so that
   * the choice is the same for the same view of the fleet.
   */
  pickSuccessor(): Member | undefined {
    const self = this.getSelfId();
    const others = this.membership
      .listServing(MemberRole.Gateway)
      .filter(
        member =>
          member.incarnation !== self && member.state === MemberState.Alive,
      );
    return pickByWeight(self, others, member => member.incarnation);
  }

  /** Resolves which gateway runs the operations of a prefix. */
  resolve(issuer: string, peerAddress: string): IssuerRoute {
    if (this.isResponsible(issuer)) return {kind: IssuerRouteKind.Here};
    const handoverTarget = this.handedOver.get(issuer);
    if (handoverTarget) return this.routeTo(handoverTarget);
    let responsibleId = issuer;
    for (let i = 0; i < maxFollowedHandovers; i++) {
      const next = this.successors.get(responsibleId);
      if (next === undefined) break;
      responsibleId = next;
    }
    // This process is the announced successor but lacks some of the records.
    if (responsibleId === this.getSelfId()) return unavailable;
    const member = this.membership.find(responsibleId);
    if (member) return this.routeTo(member);
    if (responsibleId !== issuer) return unavailable;
    const replaced = this.membership
      .listPresent()
      .some(other => other.peerAddress === peerAddress);
    return replaced ? unavailable : {kind: IssuerRouteKind.Peer, peerAddress};
  }

  /** State for the dump. */
  describe(): object {
    return {
      responsible: this.listResponsibleIssuers(),
      handedOver: [...this.handedOver].map(([issuer, {incarnation}]) => ({
        issuer,
        successor: incarnation,
      })),
      successors: this.successors.size,
    };
  }

  private routeTo(member: Member): IssuerRoute {
    if (member.state === MemberState.Dead) return unavailable;
    return {kind: IssuerRouteKind.Peer, peerAddress: member.peerAddress};
  }

  private getSelfId(): string {
    return this.membership.getSelf().incarnation;
  }
}
