/** Asks for a slot of one backend server on behalf of a request. */
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
import {unreachable, type DispatcherRefusal} from './refusalSummary.js';
import type {ServerViews} from './serverViews.js';

/** A dispatcher that sends nothing for this time is treated as unreachable. */
const answerTimeoutMs = 250;
/** Delay before the first retry at a dispatcher; doubles with each retry. */
const firstRetryDelayMs = 25;
const maxRetryDelayMs = 500;
/** Longest wait for an owner that cannot be reached. */
const maxUnreachableMs = 6_000;

type Granted = Extract<LeaseEvent, {kind: LeaseEventKind.Granted}>;

/** A grant and the dispatcher that gave it. */
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
  /** Only take a free slot; do not queue. */
  immediate: boolean;
  /** Builds the message immediately before it is sent. */
  buildAcquire: (
    leaseId: string,
    backendServer: string,
    immediate: boolean,
  ) => Acquire;
  onGranted: (grant: Grant) => void;
  onRefused: (refusal: DispatcherRefusal, retryAfterMs?: number) => void;
  /**
   * Called when there will be no slot soon, so that other servers are asked
   * too.
   */
  onDelayed: () => void;
}

/**
 * Asks the current owner until it grants or refuses. When the owner has moved
 * or cannot be reached, the new owner is asked as soon as it is known.
 */
export class LeaseRequest {
  private owner: Member | undefined;
  private leaseId: string | undefined;
  private unsubscribe: (() => void) | undefined;
  private timer: NodeJS.Timeout | undefined;
  private unreachableSinceMs: number | undefined;
  private retryCount = 0;
  /** `performance.now()` of the latest start named in the last sent message. */
  private latestStartAtMs = 0;
  private hasMissedTarget = false;
  private isOver = false;

  constructor(private readonly options: LeaseRequestOptions) {}

  get backendServer(): string {
    return this.options.backendServer;
  }

  /** Sends the request to the current owner. */
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

  /** Asks the new owner, unless it is the one that was already asked. */
  handleOwnerChange(): void {
    if (this.isOver) return;
    const owner = this.options.findOwner(this.backendServer);
    if (owner?.incarnation === this.owner?.incarnation) return;
    this.cancelAcquire();
    this.start();
  }

  /** Gives up the place in the queue, or the slot of a grant in flight. */
  cancel(): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.timer);
    this.cancelAcquire();
  }

  private handleEvent(event: LeaseEvent): void {
    clearTimeout(this.timer);
    this.unreachableSinceMs = undefined;
    if (event.view) this.options.views.update(event.view);
    switch (event.kind) {
      case LeaseEventKind.Queued:
        this.retryCount = 0;
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
    // After a refusal, the dispatcher has nothing to release for this id.
    this.leaseId = undefined;
    this.unsubscribe?.();
    if (refusal === LeaseRefusal.Leaving) {
      this.options.views.noteLeaving(this.backendServer);
    }
    if (this.isTargetMissedInQueue(refusal)) {
      this.hasMissedTarget = true;
      this.start();
      return;
    }
    const isTemporary =
      refusal === LeaseRefusal.Moved ||
      // Another suspect runs on the server; the wait ends when that one does.
      (refusal === LeaseRefusal.SuspectInFlight && !this.options.immediate);
    if (!isTemporary) {
      this.refuse(refusal, retryAfterMs);
      return;
    }
    const owner = this.options.findOwner(this.backendServer);
    const isNewOwner = owner?.incarnation !== this.owner?.incarnation;
    if (refusal === LeaseRefusal.Moved && isNewOwner) {
      this.start();
      return;
    }
    this.scheduleRetry(refusal, retryAfterMs);
  }

  /**
   * True when the target was missed while the request waited, in contrast to a
   * refusal in advance because of a long queue. From then on only the deadline
   * applies, so the request is sent once more.
   */
  private isTargetMissedInQueue(refusal: LeaseRefusal): boolean {
    return (
      refusal === LeaseRefusal.TargetUnreachable &&
      !this.hasMissedTarget &&
      performance.now() >= this.latestStartAtMs
    );
  }

  private handleUnreachable(): void {
    this.cancelAcquire();
    const nowMs = performance.now();
    this.unreachableSinceMs ??= nowMs;
    if (nowMs - this.unreachableSinceMs > maxUnreachableMs) {
      this.refuse(unreachable);
      return;
    }
    this.scheduleRetry(unreachable);
  }

  private scheduleRetry(
    refusal: DispatcherRefusal,
    retryAfterMs?: number,
  ): void {
    if (this.options.immediate) {
      this.refuse(refusal, retryAfterMs);
      return;
    }
    const backoffMs = firstRetryDelayMs * 2 ** Math.min(this.retryCount, 10);
    this.retryCount += 1;
    const delayMs = Math.min(retryAfterMs ?? backoffMs, maxRetryDelayMs);
    this.setTimer(delayMs, () => this.start());
    this.options.onDelayed();
  }

  private refuse(refusal: DispatcherRefusal, retryAfterMs?: number): void {
    this.isOver = true;
    clearTimeout(this.timer);
    this.options.onRefused(refusal, retryAfterMs);
  }

  /** Releases the lease at the dispatcher, as a grant may be in flight. */
  private cancelAcquire(): void {
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
