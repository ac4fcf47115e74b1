/** Determines which dispatcher owns each backend server. */
import {MemberRole, type Member} from '../protocol/memberMessages.js';
import type {Membership} from './membership.js';
import {pickByWeight} from './rendezvous.js';

/** Limits the cache, because callers can ask for arbitrary server ids. */
const maxCachedOwners = 20_000;

export type OwnershipListener = () => void;

/**
 * The owner of a backend server is the serving dispatcher with the highest
 * rendezvous weight. Members with the same view agree on every owner, and a
 * dispatcher that joins or leaves moves only the servers it gains or loses.
 *
 * @example
 * const owner = ownership.findOwner('engine-7');
 * if (owner) links.callDispatcher(owner.peerAddress, deadlineMs, call);
 */
export class BackendServerOwnership {
  private dispatchers: Member[] = [];
  private dispatcherIds = '';
  private readonly owners = new Map<string, string | undefined>();
  private readonly listeners = new Set<OwnershipListener>();

  constructor(private readonly membership: Membership) {
    membership.subscribe(() => this.refresh());
    this.refresh();
  }

  /** Returns the owner; undefined while there is no serving dispatcher. */
  findOwner(backendServer: string): Member | undefined {
    const incarnation = this.owners.has(backendServer)
      ? this.owners.get(backendServer)
      : this.computeOwner(backendServer);
    return incarnation === undefined
      ? undefined
      : this.membership.find(incarnation);
  }

  /** True when this process is the owner. */
  isOwner(backendServer: string): boolean {
    const self = this.membership.getSelf().incarnation;
    return this.findOwner(backendServer)?.incarnation === self;
  }

  /**
   * Calls the listener after each change of the serving dispatchers, which may
   * change the owner of any server. Returns a function that unsubscribes.
   */
  subscribe(listener: OwnershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private computeOwner(backendServer: string): string | undefined {
    const owner = pickByWeight(
      backendServer,
      this.dispatchers,
      dispatcher => dispatcher.incarnation,
    )?.incarnation;
    if (this.owners.size >= maxCachedOwners) this.owners.clear();
    this.owners.set(backendServer, owner);
    return owner;
  }

  private refresh(): void {
    const dispatchers = this.membership.listServing(MemberRole.Dispatcher);
    const ids = dispatchers
      .map(dispatcher => dispatcher.incarnation)
      .sort()
      .join(' ');
    if (ids === this.dispatcherIds) return;
    this.dispatchers = dispatchers;
    this.dispatcherIds = ids;
    this.owners.clear();
    for (const listener of this.listeners) listener();
  }
}
