/** Decides when a request is sent to the server that is selected for it. */
import {WaitCause} from '../customerShares/usageLedger.js';
import {assertNever} from '../protocol/assertNever.js';
import type {ForwardedRequest} from './forwardedRequest.js';
import type {HeldRequest, HoldQueue} from './holdQueue.js';
import {
  AdmissionDecision,
  computeCallerTimeoutMs,
  decideAdmission,
  maxSpareBacklogMs,
} from './promptAdmission.js';
import {estimateRetryAfterMs} from './returnTime.js';
import type {RequestShare} from './requestShare.js';
import type {Selection} from './selection.js';

/** What the attempts of a request so far allow. */
export interface AttemptHistory {
  /** True if a server may have run the request. */
  readonly mayHaveRun: boolean;
  /** True if the caller has a part of the answer. */
  readonly hasEvents: boolean;
}

/**
 * Admission of one request.
 *
 * @example
 * const decision = admission.decide(selection, history);
 * if (decision === AdmissionDecision.Hold) await admission.wait();
 */
export class RequestAdmission {
  private readonly held: HeldRequest;
  private wasHeld = false;
  /** Ends the recorded wait of a request that waits or is about to. */
  private endWait: (() => void) | undefined;

  /** @param deadlineMs - time that the whole request may take */
  constructor(
    private readonly request: ForwardedRequest,
    private readonly queue: HoldQueue,
    private readonly deadlineMs: number,
    private readonly share: RequestShare,
  ) {
    const {exchange, urgency, route} = request;
    const latestAtMs = exchange.startedAtMs + route.targetMs;
    const customer = share.queueCustomer;
    this.held = {rank: urgency, latestAtMs, customer};
  }

  /** Decides, and records a request that has to wait or is refused. */
  decide(selection: Selection, history: AttemptHistory): AdmissionDecision {
    const {decision, cause} = this.computeDecision(selection, history);
    switch (decision) {
      case AdmissionDecision.Hold:
        break;
      case AdmissionDecision.Refuse:
        this.share.recordRefusal(cause, selection);
        this.finishWait();
        break;
      case AdmissionDecision.OnTime:
      case AdmissionDecision.SpareTime:
      case AdmissionDecision.LastMoment:
        this.finishWait();
        break;
      default:
        assertNever(decision);
    }
    return decision;
  }

  private computeDecision(
    selection: Selection,
    {mayHaveRun, hasEvents}: AttemptHistory,
  ): {decision: AdmissionDecision; cause: WaitCause} {
    let cause = WaitCause.Capacity;
    if (hasEvents) return {decision: AdmissionDecision.OnTime, cause};
    let decision = this.decideByTimes(selection);
    if (!isDelayed(decision) && this.shouldYield(selection)) {
      cause = WaitCause.Share;
      decision = this.decideWithoutRoom();
    }
    if (decision === AdmissionDecision.Hold) {
      // That it lacks room decides which customers come after it in the queue.
      this.endWait ??= this.share.recordWait(cause, selection);
    }
    const isRefused =
      decision === AdmissionDecision.Refuse ||
      (decision === AdmissionDecision.Hold && !this.queue.canWait(this.held));
    if (!isRefused) return {decision, cause};
    // The caller of a request that may have run can't be told to come back.
    if (mayHaveRun) return {decision: AdmissionDecision.LastMoment, cause};
    const lacksSlots = selection.isShortPrompt && selection.slotWaitMs > 0;
    if (lacksSlots && cause === WaitCause.Capacity) {
      this.queue.recordSlotShortage(this.held.rank);
    }
    return {decision: AdmissionDecision.Refuse, cause};
  }

  /** True if requests of other customers come before this one. */
  private shouldYield(selection: Selection): boolean {
    if (!this.share.shouldYield()) return false;
    // Nobody gains if a server with room for it stays idle.
    return !hasRoom(selection) || this.queue.hasWithinShare(this.held.rank);
  }

  private decideWithoutRoom(): AdmissionDecision {
    return performance.now() < this.held.latestAtMs
      ? AdmissionDecision.Hold
      : AdmissionDecision.Refuse;
  }

  private decideByTimes(selection: Selection): AdmissionDecision {
    const {exchange, route} = this.request;
    const {rank} = this.held;
    const isEngine = exchange.request.promptParts.length > 0;
    if (isEngine && this.queue.shouldLeaveSlots(rank)) {
      return this.decideWithoutRoom();
    }
    // A short prompt delays others only where it takes a slot.
    const isHarmless = selection.isShortPrompt && selection.slotWaitMs === 0;
    if (isHarmless) return AdmissionDecision.OnTime;
    return decideAdmission({
      waitedMs: performance.now() - exchange.startedAtMs,
      expectedMs: selection.expectedMs,
      backlogMs: measureQueueMs(selection),
      targetMs: route.targetMs,
      callerTimeoutMs: computeCallerTimeoutMs(route, this.deadlineMs),
    });
  }

  /** True if the request may be sent to the server beside an attempt. */
  canSend(selection: Selection, {hasEvents}: AttemptHistory): boolean {
    const history = {mayHaveRun: false, hasEvents};
    const {decision} = this.computeDecision(selection, history);
    this.finishWait();
    return !isDelayed(decision);
  }

  /** Waits until the request should be decided again; never rejects. */
  async wait(): Promise<void> {
    this.wasHeld = true;
    await this.queue.wait(this.held, this.request.exchange.signal);
    const {endWait} = this;
    this.endWait = undefined;
    // It still counts while it is decided again, which follows at once.
    if (endWait) setImmediate(endWait);
  }

  private finishWait(): void {
    this.endWait?.();
    this.endWait = undefined;
  }

  /** Records that the request is sent. */
  recordSend(selection: Selection): void {
    const useMs = this.share.estimateUseMs(selection);
    if (this.wasHeld) this.queue.recordStart(this.held, useMs);
    this.wasHeld = false;
  }

  /** Returns when the caller of a refused request should come back. */
  estimateReturnMs(selection: Selection): number {
    const queueMs = measureQueueMs(selection);
    const beyondMs = this.share.measureBeyondMs();
    return estimateRetryAfterMs(Math.max(queueMs, beyondMs), Math.random);
  }
}

/** True if the request isn't sent now. */
function isDelayed(decision: AdmissionDecision): boolean {
  return (
    decision === AdmissionDecision.Hold || decision === AdmissionDecision.Refuse
  );
}

/** True if the selected server begins a request about at once. */
function hasRoom(selection: Selection): boolean {
  const {server, serverRequests} = selection;
  return (
    serverRequests < server.slots &&
    measureQueueMs(selection) <= maxSpareBacklogMs
  );
}

/** Time until the selected server begins a request, in milliseconds. */
function measureQueueMs({backlogMs, slotWaitMs}: Selection): number {
  return Math.max(backlogMs, slotWaitMs);
}
