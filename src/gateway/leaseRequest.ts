/** One request's wish for a slot of one backend server. */
import crypto from 'node:crypto';
import type {Member} from '../protocol/memberMessages.js';
import {
  LeaseEnd,
  LeaseEventKind,
  LeaseRefusal,
  type Acquire,
  type LeaseEvent,
} from '../protocol/leaseMessages.js';
import type {DispatcherCalls} from './dispatcherCalls.js';
import {unreachable, type AskRefusal} from './refusalSummary.js';
import type {ServerViews} from './serverViews.js';

/** A dispatcher that says nothing for this time counts as unreachable. */
const answerTimeoutMs = 250;
/** First delay before a dispatcher is asked again; doubles each time. */
const firstRepeatDelayMs = 25;
const maxRepeatDelayMs = 500;
/** A request isn't held back longer for owners that can't be reached. */
const unreachableLimitMs = 6_000;

type Granted = Extract<LeaseEvent, {kind: LeaseEventKind.Granted}>;

/** A grant, and who gave it. */
export interface Grant {
  leaseId: string;
  backendServer: string;
  owner: Member;
  event: Granted;
}

export interface LeaseRequestOptions {
  dispatchers: DispatcherCalls;
  views: ServerViews;
  findOwner: (backendServer: string) => Member | undefined;
  backendServer: string;
  /** Take a free slot or be refused: never queue. */
  immediate: boolean;
  /** Builds the message for the moment at which it is sent. */
  buildAcquire: (
    leaseId: string,
    backendServer: string,
    immediate: boolean,
  ) => Acquire;
  onGranted: (grant: Grant) => void;
  onRefused: (refusal: AskRefusal, retryAfterMs?: number) => void;
  /** No slot soon: other servers should be asked, too. */
  onDelayed: () => void;
}

/**
 * Asks the owner of the moment until it grants or refuses. An owner that moved
 * away or can't be reached is replaced as soon as the ownership says by whom.
 */
export class LeaseRequest {
  private owner: Member | undefined;
  private leaseId: string | undefined;
  private unsubscribe: (() => void) | undefined;
  private timer: NodeJS.Timeout | undefined;
  private unreachableSinceMs: number | undefined;
  private repeats = 0;
  /** `performance.now()` at which the latest useful start of the ask passes. */
  private latestStartAtMs = 0;
  private targetHasPassed = false;
  private isOver = false;

  constructor(private readonly options: LeaseRequestOptions) {}

  get backendServer(): string {
    return this.options.backendServer;
  }

  /** Asks the owner. */
  start(): void {
    const {backendServer, immediate, findOwner, buildAcquire, dispatchers} =
      this.options;
    this.owner = findOwner(backendServer);
    if (!this.owner) {
      this.handleUnreachable();
      return;
    }
    const leaseId = crypto.randomUUID();
    this.leaseId = leaseId;
    const acquire = buildAcquire(leaseId, backendServer, immediate);
    this.latestStartAtMs = performance.now() + acquire.latestStartMs;
    this.setTimer(answerTimeoutMs, () => this.handleUnreachable());
    const isCurrent = () => !this.isOver && this.leaseId === leaseId;
    const unsubscribe = dispatchers.acquire(this.owner.peerAddress, acquire, {
      onEvent: event => isCurrent() && this.handleEvent(event),
      onEnd: () => isCurrent() && this.handleUnreachable(),
    });
    if (isCurrent()) this.unsubscribe = unsubscribe;
    else unsubscribe();
  }

  /** Asks the new owner when it isn't the one that was asked. */
  handleOwnerChange(): void {
    if (this.isOver) return;
    const owner = this.options.findOwner(this.backendServer);
    if (owner?.incarnation === this.owner?.incarnation) return;
    this.dropAsk();
    this.start();
  }

  /** Gives up the place in the queue, or the slot on its way. */
  cancel(): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.timer);
    this.dropAsk();
  }

  private handleEvent(event: LeaseEvent): void {
    clearTimeout(this.timer);
    this.unreachableSinceMs = undefined;
    if (event.view) this.options.views.note(event.view);
    switch (event.kind) {
      case LeaseEventKind.Queued:
        this.repeats = 0;
        break;
      case LeaseEventKind.Granted:
        this.accept(event);
        break;
      case LeaseEventKind.Refused:
        this.handleRefusal(event.refusal, event.retryAfterMs);
        break;
    }
  }

  private accept(event: Granted): void {
    const {leaseId, owner, backendServer} = this;
    if (leaseId === undefined || !owner) return;
    this.isOver = true;
    this.unsubscribe?.();
    this.options.onGranted({leaseId, backendServer, owner, event});
  }

  private handleRefusal(refusal: LeaseRefusal, retryAfterMs?: number): void {
    // The dispatcher holds nothing for this id.
    this.leaseId = undefined;
    this.unsubscribe?.();
    if (refusal === LeaseRefusal.Leaving) {
      this.options.views.noteLeaving(this.backendServer);
    }
    if (this.isTargetAlone(refusal)) {
      this.targetHasPassed = true;
      this.start();
      return;
    }
    const passes =
      refusal === LeaseRefusal.Moved ||
      // Another suspect holds the server; the wait is bounded by its end.
      (refusal === LeaseRefusal.SuspectInFlight && !this.options.immediate);
    if (!passes) {
      this.refuse(refusal, retryAfterMs);
      return;
    }
    const owner = this.options.findOwner(this.backendServer);
    const isNewOwner = owner?.incarnation !== this.owner?.incarnation;
    if (refusal === LeaseRefusal.Moved && isNewOwner) {
      this.start();
      return;
    }
    this.scheduleRepeat(refusal, retryAfterMs);
  }

  /**
   * True when the target passed while the request waited, as opposed to a
   * refusal in advance because of the queue. From then on only the deadline
   * binds, so the request is asked for once more.
   */
  private isTargetAlone(refusal: LeaseRefusal): boolean {
    return (
      refusal === LeaseRefusal.TargetUnreachable &&
      !this.targetHasPassed &&
      performance.now() >= this.latestStartAtMs
    );
  }

  private handleUnreachable(): void {
    this.dropAsk();
    const nowMs = performance.now();
    this.unreachableSinceMs ??= nowMs;
    if (nowMs - this.unreachableSinceMs > unreachableLimitMs) {
      this.refuse(unreachable);
      return;
    }
    this.scheduleRepeat(unreachable);
  }

  private scheduleRepeat(refusal: AskRefusal, retryAfterMs?: number): void {
    if (this.options.immediate) {
      this.refuse(refusal, retryAfterMs);
      return;
    }
    const backoffMs = firstRepeatDelayMs * 2 ** Math.min(this.repeats, 10);
    this.repeats += 1;
    const delayMs = Math.min(retryAfterMs ?? backoffMs, maxRepeatDelayMs);
    this.setTimer(delayMs, () => this.start());
    this.options.onDelayed();
  }

  private refuse(refusal: AskRefusal, retryAfterMs?: number): void {
    this.isOver = true;
    clearTimeout(this.timer);
    this.options.onRefused(refusal, retryAfterMs);
  }

  /** Frees what the asked dispatcher may hold: a grant may be on its way. */
  private dropAsk(): void {
    const {owner, leaseId, backendServer} = this;
    clearTimeout(this.timer);
    this.unsubscribe?.();
    this.unsubscribe = undefined;
    this.leaseId = undefined;
    if (!owner || leaseId === undefined) return;
    void this.options.dispatchers.release(owner.peerAddress, {
      leaseId,
      backendServer,
      end: LeaseEnd.Unused,
      tokens: 0,
      heldMs: 0,
    });
  }

  private setTimer(delayMs: number, run: () => void): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(run, delayMs);
  }
}
