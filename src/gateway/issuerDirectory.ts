/** Which gateway runs the operations of an issuer. */
import {pickByWeight} from '../node/rendezvous.js';
import type {Membership} from '../node/membership.js';
import {
  MemberRole,
  MemberState,
  type Member,
} from '../protocol/memberMessages.js';

export enum IssuerRouteKind {
  /** This process is responsible. */
  Here = 'here',
  Peer = 'peer',
  /** Dead, replaced or unknown: nobody can tell what ran. */
  Unavailable = 'unavailable',
}

export type IssuerRoute =
  | {kind: IssuerRouteKind.Here}
  | {kind: IssuerRouteKind.Peer; peerAddress: string}
  | {kind: IssuerRouteKind.Unavailable};

const unavailable: IssuerRoute = {kind: IssuerRouteKind.Unavailable};
/** Hand-overs remembered; a prefix is of no use after 25 min. */
const maxSuccessors = 10_000;
/** Hand-overs followed for one prefix. */
const maxSuccessions = 8;

/**
 * Knows the issuers that this process is responsible for, the ones it handed
 * over, and the successors that other gateways announced.
 */
export class IssuerDirectory {
  private readonly adopted = new Set<string>();
  private readonly handedOver = new Map<string, Member>();
  private readonly successors = new Map<string, string>();

  constructor(private readonly membership: Membership) {}

  /** Issuers whose operations this process runs. */
  listResponsible(): string[] {
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

  /** True when this process gave the issuer's authority away. */
  isHandedOver(issuer: string): boolean {
    return this.handedOver.has(issuer);
  }

  /** Takes the authority of an issuer whose records are all here. */
  adopt(issuer: string): void {
    this.adopted.add(issuer);
  }

  /** Gives the authority away for good, before the successor can have it. */
  giveAuthority(issuer: string, successor: Member): void {
    this.handedOver.set(issuer, successor);
  }

  /** Notes the announced successor of an issuer; the first one stays. */
  noteSuccessor(issuer: string, successor: string): void {
    if (this.successors.has(issuer)) return;
    this.successors.set(issuer, successor);
    if (this.successors.size <= maxSuccessors) return;
    const [oldest] = this.successors.keys();
    this.successors.delete(oldest);
  }

  /** Picks the gateway to hand over to; the same one for the same view. */
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

  /** Finds out where the operations of a prefix run. */
  resolve(issuer: string, peerAddress: string): IssuerRoute {
    if (this.isResponsible(issuer)) return {kind: IssuerRouteKind.Here};
    const handed = this.handedOver.get(issuer);
    if (handed) return this.routeTo(handed);
    let holder = issuer;
    for (let i = 0; i < maxSuccessions; i++) {
      const next = this.successors.get(holder);
      if (next === undefined) break;
      holder = next;
    }
    // The announced successor is this process, but records are missing here.
    if (holder === this.getSelfId()) return unavailable;
    const member = this.membership.find(holder);
    if (member) return this.routeTo(member);
    if (holder !== issuer) return unavailable;
    const replaced = this.membership
      .listPresent()
      .some(other => other.peerAddress === peerAddress);
    return replaced ? unavailable : {kind: IssuerRouteKind.Peer, peerAddress};
  }

  /** State for the dump. */
  describe(): object {
    return {
      responsible: this.listResponsible(),
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
