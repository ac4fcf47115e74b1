/** Fetches missing configuration changes from peers. */
import {BroadcastKind, type Member} from '../protocol/memberMessages.js';
import type {
  ConfigChange,
  ConfigDocument,
  ConfigHead,
} from '../protocol/platformApi.js';
import {maxItemBytesPerPing} from './broadcaster.js';
import {ApplyResult, type ConfigStore} from './configStore.js';
import {waitFor} from './delay.js';
import type {MemberService} from './memberService.js';
import type {Membership} from './membership.js';
import type {PeerLinks} from './peerLinks.js';
import {shuffle} from './shuffle.js';

const peerFetchDeadlineMs = 1_000;
/** Time allowed for an earlier change that was delayed in transit to arrive. */
const reorderWaitMs = 100;
const maxRetryDelayMs = 1_000;
/**
 * Attempts before the target number is dropped. The next ping from a peer that
 * is ahead sets it again.
 */
const maxAttempts = 8;
/**
 * The configuration service is read on one attempt in this many, in case peers
 * can't provide the missing changes.
 */
const attemptsPerServiceRead = 3;
/** Number of peers remembered as holding a higher number than this process. */
const maxPeersAhead = 8;

/**
 * Brings this process up to the highest configuration number that it knows to
 * exist. Each change that it fetches is also broadcast, because other members
 * may lack the same change.
 */
export class ConfigCatchUp {
  private target = 0;
  private readonly peersAhead = new Map<string, Member>();
  private running: Promise<void> | undefined;
  private readFromService: () => Promise<unknown> = async () => {};
  private readonly abortController = new AbortController();

  constructor(
    private readonly store: ConfigStore,
    private readonly membership: Membership,
    private readonly members: MemberService,
    private readonly links: PeerLinks,
  ) {}

  /** Sets the function that reads missing changes from the service. */
  setServiceReader(readFromService: () => Promise<unknown>): void {
    this.readFromService = readFromService;
  }

  /** Handles the head that a peer has sent; catches up if it is newer. */
  handlePeerHead(head: ConfigHead, peer: Member): void {
    this.store.compareHead(head);
    if (head.number <= this.store.getHead().number) return;
    this.peersAhead.delete(peer.incarnation);
    this.peersAhead.set(peer.incarnation, peer);
    const [oldest] = this.peersAhead.keys();
    if (this.peersAhead.size > maxPeersAhead) this.peersAhead.delete(oldest);
    this.raiseTarget(head.number);
  }

  /** Sets the number to reach, if it is higher, and starts catching up. */
  raiseTarget(number: number): void {
    this.target = Math.max(this.target, number);
    if (!this.isBehind()) return;
    this.running ??= this.run().finally(() => (this.running = undefined));
  }

  /** Returns true while a higher number than the one held is known to exist. */
  isBehind(): boolean {
    return this.target > this.store.getHead().number;
  }

  /** Aborts the attempts in progress. */
  stop(): void {
    this.abortController.abort();
  }

  /**
   * Applies changes in order and broadcasts those that are new. Returns false
   * when none was applied or when a change is missing in between.
   */
  applyChanges(changes: readonly ConfigChange[]): boolean {
    let applied = false;
    for (const change of changes) {
      const result = this.store.applyChange(change);
      if (result === ApplyResult.Gap) return false;
      if (result !== ApplyResult.Applied) continue;
      applied = true;
      this.publishChange(change);
    }
    return applied;
  }

  /** Applies a whole document. Peers learn of its number from pings. */
  applyDocument(document: ConfigDocument): void {
    const result = this.store.applyDocument(document);
    if (result === ApplyResult.Applied) void this.members.pingSome();
  }

  private publishChange(change: ConfigChange): void {
    const item = {kind: BroadcastKind.ConfigChange as const, change};
    const bytes = Buffer.byteLength(JSON.stringify(item));
    // A broadcast delivers an item to each member several times. For a large
    // change only the number is announced, and each member fetches it once.
    if (bytes > maxItemBytesPerPing) void this.members.pingSome();
    else this.members.publish(`config/${change.number}/${change.digest}`, item);
  }

  private async run(): Promise<void> {
    const {signal} = this.abortController;
    // When no peer is known to be ahead, only a later change has arrived so
    // far, and the earlier one may still be in transit.
    if (this.peersAhead.size === 0) await waitFor(reorderWaitMs, signal);
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      if (!this.isBehind() || signal.aborted) break;
      const peer = this.pickPeer();
      if (peer) await this.fetchFrom(peer);
      if (!this.isBehind()) break;
      if (attempt % attemptsPerServiceRead === 1) await this.readFromService();
      const delayMs = Math.min(reorderWaitMs * 2 ** attempt, maxRetryDelayMs);
      await waitFor(delayMs * (0.5 + Math.random()), signal);
    }
    this.target = this.store.getHead().number;
    this.peersAhead.clear();
  }

  /** Returns the peer last known to be ahead, or else a random member. */
  private pickPeer(): Member | undefined {
    const last = [...this.peersAhead.values()].at(-1);
    if (last) {
      // Removed, so that another peer is tried if this one fails.
      this.peersAhead.delete(last.incarnation);
      return last;
    }
    const self = this.membership.getSelf().incarnation;
    const others = this.membership
      .listPresent()
      .filter(member => member.incarnation !== self);
    return shuffle(others).at(0);
  }

  private async fetchFrom({peerAddress}: Member): Promise<void> {
    const after = this.store.getHead().number;
    if (after === 0) return this.fetchDocument(peerAddress);
    const changes = await this.links.callGateway(
      peerAddress,
      peerFetchDeadlineMs,
      (client, signal) => client.members.fetchChanges.query({after}, {signal}),
    );
    if (changes.isErr()) return;
    if (this.applyChanges(changes.value)) return;
    await this.fetchDocument(peerAddress);
  }

  private async fetchDocument(peerAddress: string): Promise<void> {
    const document = await this.links.callGateway(
      peerAddress,
      peerFetchDeadlineMs,
      (client, signal) =>
        client.members.fetchDocument.query(undefined, {signal}),
    );
    if (document.isOk()) this.applyDocument(document.value);
  }
}
