/** Decides when a request is sent to the server that is selected for it. */
import type {ForwardedRequest} from './forwardedRequest.js';
import type {HeldRequest, HoldQueue} from './holdQueue.js';
import {
  AdmissionDecision,
  computeCallerTimeoutMs,
  decideAdmission,
} from './promptAdmission.js';
import {estimateRetryAfterMs} from './returnTime.js';
import type {Selection} from './serverSelector.js';

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

  /** @param deadlineMs - time that the whole request may take */
  constructor(
    private readonly request: ForwardedRequest,
    private readonly queue: HoldQueue,
    private readonly deadlineMs: number,
  ) {
    const {exchange, urgency, route} = request;
    const latestAtMs = exchange.startedAtMs + route.targetMs;
    this.held = {rank: urgency, latestAtMs};
  }

  decide(
    selection: Selection,
    {mayHaveRun, hasEvents}: AttemptHistory,
  ): AdmissionDecision {
    if (hasEvents) return AdmissionDecision.OnTime;
    const decision = this.decideByTimes(selection);
    const isRefused =
      decision === AdmissionDecision.Refuse ||
      (decision === AdmissionDecision.Hold && !this.queue.canWait(this.held));
    if (!isRefused) return decision;
    // The caller of a request that may have run can't be told to come back.
    if (mayHaveRun) return AdmissionDecision.LastMoment;
    if (selection.isShortPrompt && selection.slotWaitMs > 0) {
      this.queue.recordSlotShortage(this.held.rank);
    }
    return AdmissionDecision.Refuse;
  }

  private decideByTimes(selection: Selection): AdmissionDecision {
    const {exchange, route} = this.request;
    const {latestAtMs, rank} = this.held;
    const isEngine = exchange.request.promptParts.length > 0;
    if (isEngine && this.queue.shouldLeaveSlots(rank)) {
      return performance.now() < latestAtMs
        ? AdmissionDecision.Hold
        : AdmissionDecision.Refuse;
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
    const decision = this.decide(selection, {mayHaveRun: false, hasEvents});
    return (
      decision !== AdmissionDecision.Hold &&
      decision !== AdmissionDecision.Refuse
    );
  }

  /** Waits until the request should be decided again; never rejects. */
  async wait(): Promise<void> {
    this.wasHeld = true;
    await this.queue.wait(this.held, this.request.exchange.signal);
  }

  /** Records that the request is sent. */
  recordSend(): void {
    if (this.wasHeld) this.queue.recordStart();
    this.wasHeld = false;
  }
}

/** Returns when the caller of a refused request should come back. */
export function estimateReturnMs(selection: Selection): number {
  return estimateRetryAfterMs(measureQueueMs(selection), Math.random);
}

/** Time until the selected server begins a request, in milliseconds. */
function measureQueueMs({backlogMs, slotWaitMs}: Selection): number {
  return Math.max(backlogMs, slotWaitMs);
}
