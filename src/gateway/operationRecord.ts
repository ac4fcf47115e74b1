/** What the issuing gateway knows of one operation key. */
import {err, type Result} from 'neverthrow';
import type {ServiceAnswer} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {OperationAttempt} from './operationAttempt.js';

export enum OperationState {
  /** Nothing was sent to a backend server. */
  Accepted = 'accepted',
  /** A connection opened and the operation may have been written to it. */
  Dispatched = 'dispatched',
  /** The whole answer is here. */
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
  /** Covers the class and the whole call. */
  bodyDigest: string;
  /** Unix time at which the prefix expires. */
  expiresAtMs: number;
}

/** Limits of one caller that waits for an operation. */
export interface WaiterLimits {
  /** `performance.now()` at which the caller's deadline passes. */
  deadlineAtMs: number;
  /** Aborts when the caller is gone. */
  signal: AbortSignal;
}

interface Waiter {
  deadlineAtMs: number;
  settle(answer: OperationAnswer): void;
}

/** A retry with the same key joins the operation or gets its answer. */
const retryAfterMs = 1_000;
const overheadBytes = 512;

/**
 * State of one operation key. At most one attempt is in progress, and at most
 * one attempt in the record's life is allowed to write to a backend server.
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
    /** Called after each change that alters the memory or the progress. */
    private readonly onChange: () => void = () => undefined,
  ) {}

  getState(): OperationState {
    return this.state;
  }

  /** The recorded answer; undefined while there is none. */
  getResult(): OperationAnswer | undefined {
    return this.result;
  }

  /** True while an attempt is in progress. */
  isRunning(): boolean {
    return this.attempt !== undefined;
  }

  /** True when nothing was sent and nothing is in progress. */
  isIdle(): boolean {
    return this.state === OperationState.Accepted && !this.attempt;
  }

  /** True while an attempt is in progress that has written nothing. */
  isWaitingFor(attempt: OperationAttempt): boolean {
    return this.attempt === attempt && this.state === OperationState.Accepted;
  }

  /** Memory of the record without what an attempt needs, in bytes. */
  computeBytes(): number {
    const answer = this.result?.isOk() ? this.result.value.body.length : 0;
    return overheadBytes + this.identity.operationKey.length + answer;
  }

  /** Latest deadline of the callers that wait, as `performance.now()`. */
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

  /** Restores a record that another gateway handed over. */
  adoptResult(result: OperationAnswer): void {
    this.result = result;
    this.state = result.isOk()
      ? OperationState.Finished
      : OperationState.Unknown;
    this.onChange();
  }

  /** Waits for the answer of the operation, until the caller's deadline. */
  join(limits: WaiterLimits): Promise<OperationAnswer> {
    if (this.result) return Promise.resolve(this.result);
    return new Promise(resolve => {
      const {signal, deadlineAtMs} = limits;
      const leaveAtDeadline = () =>
        this.removeWaiter(waiter, RefusalReason.DeadlineExceeded);
      const leaveWhenGone = () =>
        this.removeWaiter(waiter, RefusalReason.CallerGone);
      const timer = setTimeout(
        leaveAtDeadline,
        Math.max(0, deadlineAtMs - performance.now()),
      );
      const waiter: Waiter = {
        deadlineAtMs,
        settle: answer => {
          clearTimeout(timer);
          signal.removeEventListener('abort', leaveWhenGone);
          this.waiters.delete(waiter);
          resolve(answer);
        },
      };
      this.waiters.add(waiter);
      signal.addEventListener('abort', leaveWhenGone, {once: true});
      if (signal.aborted) leaveWhenGone();
    });
  }

  /** Starts an attempt; undefined when there is no need or no permission. */
  beginAttempt(): OperationAttempt | undefined {
    if (!this.isIdle() || this.sealed || this.waiters.size === 0) {
      return undefined;
    }
    this.attempt = new OperationAttempt(this);
    this.onChange();
    return this.attempt;
  }

  /** Forbids any later dispatch here; a dispatch in progress becomes unknown. */
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

  /** Decides whether an attempt may write to its open connection. */
  tryDispatch(attempt: OperationAttempt): Refusal | undefined {
    if (this.sealed) return buildShutdownRefusal();
    if (this.attempt !== attempt || this.state !== OperationState.Accepted) {
      return buildDeadlineRefusal(Outcome.NotRun);
    }
    if (this.getNowMs() >= this.identity.expiresAtMs) {
      return buildExpiredRefusal(Outcome.NotRun);
    }
    // After a pause of the process the timers of the deadlines may be late.
    if (this.getLatestDeadlineAtMs() <= performance.now()) {
      return buildDeadlineRefusal(Outcome.NotRun);
    }
    this.state = OperationState.Dispatched;
    return undefined;
  }

  /** Records how an attempt ended; a late report of an old one is ignored. */
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
    // Another caller still waits for the same operation, so it may yet run.
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

/** Refusal of a prefix whose time is over. */
export function buildExpiredRefusal(outcome: Outcome): Refusal {
  return new Refusal(
    RefusalReason.OperationPrefixExpired,
    outcome,
    'the operation prefix has expired',
  );
}

/** Refusal of work that a leaving gateway won't run. */
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
