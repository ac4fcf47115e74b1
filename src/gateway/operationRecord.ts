/** State of one operation key at the gateway responsible for it. */
import {err, type Result} from 'neverthrow';
import type {ServiceAnswer} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {OperationAttempt} from './operationAttempt.js';

export enum OperationState {
  /** Nothing has been sent to a backend server. */
  Accepted = 'accepted',
  /** The operation may have been written to a backend server. */
  Dispatched = 'dispatched',
  /** The whole answer was received. */
  Finished = 'finished',
  /** The operation was dispatched and its answer was lost. */
  Unknown = 'unknown',
}

export type OperationAnswer = Result<ServiceAnswer, Refusal>;

/** Identifies an operation; the same key with another digest is refused. */
export interface OperationIdentity {
  operationKey: string;
  /** Incarnation that issued the prefix. */
  issuer: string;
  customerId: string;
  /** Digest of the class and the whole call. */
  bodyDigest: string;
  /** Unix time at which the prefix expires. */
  expiresAtMs: number;
}

/** When one caller stops waiting for an operation. */
export interface WaiterLimits {
  /** `performance.now()` at which the caller's deadline passes. */
  deadlineAtMs: number;
  /** Aborts when the caller has disconnected. */
  signal: AbortSignal;
}

interface Waiter {
  deadlineAtMs: number;
  settle(answer: OperationAnswer): void;
}

/** Wait before a retry, which joins the operation or gets its answer. */
const retryAfterMs = 1_000;
const recordOverheadBytes = 512;

/**
 * State of one operation key. At most one attempt is in progress at a time, and
 * at most one attempt is ever allowed to write to a backend server.
 */
export class OperationRecord {
  private state = OperationState.Accepted;
  private result: OperationAnswer | undefined;
  private attempt: OperationAttempt | undefined;
  private sealed = false;
  private readonly waiters = new Set<Waiter>();

  constructor(
    readonly identity: OperationIdentity,
    private readonly getNowMs: () => number,
    /** Called after changes of `computeBytes()` or `isRunning()`. */
    private readonly onChange: () => void = () => undefined,
  ) {}

  getState(): OperationState {
    return this.state;
  }

  /** Returns the recorded answer, if there is one. */
  getResult(): OperationAnswer | undefined {
    return this.result;
  }

  /** True while an attempt is in progress. */
  isRunning(): boolean {
    return this.attempt !== undefined;
  }

  /** True when nothing was dispatched and no attempt is in progress. */
  isIdle(): boolean {
    return this.state === OperationState.Accepted && !this.attempt;
  }

  /** True while the attempt is the current one and was not dispatched. */
  isWaitingFor(attempt: OperationAttempt): boolean {
    return this.attempt === attempt && this.state === OperationState.Accepted;
  }

  /** Estimates the memory of the record, without that of an attempt. */
  computeBytes(): number {
    const answer = this.result?.isOk() ? this.result.value.body.length : 0;
    return recordOverheadBytes + this.identity.operationKey.length + answer;
  }

  /** Latest deadline of the waiting callers, as `performance.now()`. */
  getLatestDeadlineAtMs(): number {
    return Math.max(0, ...[...this.waiters].map(w => w.deadlineAtMs));
  }

  /** State for the dump, without key, body and answer. */
  describe(): object {
    const {issuer, customerId, bodyDigest, expiresAtMs} = this.identity;
    return {
      known: true,
      state: this.state,
      running: this.isRunning(),
      waiters: this.waiters.size,
      sealed: this.sealed,
      issuer,
      customerId,
      bodyDigest,
      expiresAt: new Date(expiresAtMs).toISOString(),
      ...(this.result?.isOk() ? {status: this.result.value.status} : {}),
      ...(this.result?.isErr() ? {reason: this.result.error.reason} : {}),
    };
  }

  /** Restores the result of a record that another gateway handed over. */
  adoptResult(result: OperationAnswer): void {
    this.result = result;
    this.state = result.isOk()
      ? OperationState.Finished
      : OperationState.Unknown;
    this.onChange();
  }

  /** Waits for the answer until the caller's deadline or disconnection. */
  join(limits: WaiterLimits): Promise<OperationAnswer> {
    if (this.result) return Promise.resolve(this.result);
    return new Promise(resolve => {
      const {signal, deadlineAtMs} = limits;
      const removeAtDeadline = () =>
        this.removeWaiter(waiter, RefusalReason.DeadlineExceeded);
      const removeWhenGone = () =>
        this.removeWaiter(waiter, RefusalReason.CallerGone);
      const timer = setTimeout(
        removeAtDeadline,
        Math.max(0, deadlineAtMs - performance.now()),
      );
      const waiter: Waiter = {
        deadlineAtMs,
        settle: answer => {
          clearTimeout(timer);
          signal.removeEventListener('abort', removeWhenGone);
          this.waiters.delete(waiter);
          resolve(answer);
        },
      };
      this.waiters.add(waiter);
      signal.addEventListener('abort', removeWhenGone, {once: true});
      if (signal.aborted) removeWhenGone();
    });
  }

  /** Starts an attempt, or returns undefined if none is needed or allowed. */
  beginAttempt(): OperationAttempt | undefined {
    if (!this.isIdle() || this.sealed || this.waiters.size === 0) {
      return undefined;
    }
    this.attempt = new OperationAttempt(this);
    this.onChange();
    return this.attempt;
  }

  /** Forbids any later dispatch; a dispatched operation becomes unknown. */
  seal(): void {
    this.sealed = true;
    if (this.state === OperationState.Dispatched) {
      this.settleUnknown('the gateway left before the answer came');
      return;
    }
    this.endAttempt();
    if (this.result) return;
    this.settleWaiters(err(buildShutdownRefusal()));
  }

  /** Marks the operation as dispatched, or returns why it must not be. */
  tryDispatch(attempt: OperationAttempt): Refusal | undefined {
    if (this.sealed) return buildShutdownRefusal();
    if (this.attempt !== attempt || this.state !== OperationState.Accepted) {
      return buildDeadlineRefusal(Outcome.NotRun);
    }
    if (this.getNowMs() >= this.identity.expiresAtMs) {
      return buildExpiredRefusal(Outcome.NotRun);
    }
    // After the process was paused, the deadline timers may not have fired yet.
    if (this.getLatestDeadlineAtMs() <= performance.now()) {
      return buildDeadlineRefusal(Outcome.NotRun);
    }
    this.state = OperationState.Dispatched;
    return undefined;
  }

  /** Records how an attempt ended; ignores all but the current attempt. */
  settle(attempt: OperationAttempt, answer: OperationAnswer): void {
    if (this.attempt !== attempt) return;
    if (this.state !== OperationState.Dispatched) {
      const refusal = answer.isErr()
        ? answer.error
        : new Refusal(
            RefusalReason.InternalError,
            Outcome.NotRun,
            'an answer came without a dispatch',
          );
      this.endAttempt();
      this.settleWaiters(err(withOutcome(refusal, Outcome.NotRun)));
      return;
    }
    if (answer.isErr()) return this.settleUnknown(answer.error.message);
    this.state = OperationState.Finished;
    this.result = answer;
    this.endAttempt();
    this.settleWaiters(answer);
  }

  private settleUnknown(message: string): void {
    this.state = OperationState.Unknown;
    this.result = err(
      new Refusal(
        RefusalReason.BackendServerFailed,
        Outcome.MayHaveRun,
        message,
      ),
    );
    this.endAttempt();
    this.settleWaiters(this.result);
  }

  private removeWaiter(waiter: Waiter, reason: RefusalReason): void {
    this.waiters.delete(waiter);
    const neverRuns =
      this.state === OperationState.Accepted && this.waiters.size === 0;
    // The operation may still run if it was dispatched or if another caller
    // waits for it.
    if (neverRuns) this.endAttempt();
    const outcome = neverRuns ? Outcome.NotRun : Outcome.MayHaveRun;
    waiter.settle(
      err(
        reason === RefusalReason.CallerGone
          ? new Refusal(reason, outcome, 'the caller closed the connection')
          : buildDeadlineRefusal(outcome),
      ),
    );
  }

  private endAttempt(): void {
    const {attempt} = this;
    this.attempt = undefined;
    attempt?.abortController.abort();
    this.onChange();
  }

  private settleWaiters(answer: OperationAnswer): void {
    for (const waiter of [...this.waiters]) waiter.settle(answer);
  }
}

/** Builds the refusal of an expired prefix. */
export function buildExpiredRefusal(outcome: Outcome): Refusal {
  return new Refusal(
    RefusalReason.OperationPrefixExpired,
    outcome,
    'the operation prefix has expired',
  );
}

/** Builds the refusal of requests that a leaving gateway doesn't accept. */
export function buildShutdownRefusal(): Refusal {
  return new Refusal(
    RefusalReason.ShuttingDown,
    Outcome.NotRun,
    'the gateway is leaving',
    {retryAfterMs},
  );
}

function buildDeadlineRefusal(outcome: Outcome): Refusal {
  return new Refusal(
    RefusalReason.DeadlineExceeded,
    outcome,
    'the deadline passed before the answer came',
    {retryAfterMs},
  );
}

function withOutcome(refusal: Refusal, outcome: Outcome): Refusal {
  if (refusal.outcome === outcome) return refusal;
  const {reason, message, retryAfterMs: after, cause} = refusal;
  return new Refusal(reason, outcome, message, {retryAfterMs: after, cause});
}
