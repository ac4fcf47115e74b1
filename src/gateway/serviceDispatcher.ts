/** Sends calls to plain services, each on its own connection. */
import {err, ok, type Result} from 'neverthrow';
import {BackendServerKind} from '../config/configuration.js';
import {waitFor} from '../node/delay.js';
import {ConnectError, DeadlineError} from '../protocol/errors.js';
import {LeaseEnd} from '../protocol/leaseMessages.js';
import type {
  ServiceAnswer,
  ServiceCall,
} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {Lease, LeaseClient} from './leaseClient.js';
import type {OperationSender} from './operationExecutor.js';
import {maxOperationAnswerBytes} from './operationRecords.js';
import {OutcomeTracker} from './outcomeTracker.js';
import {RequestBudget} from '../node/requestBudget.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';
import {openConnection} from './serviceConnection.js';
import {sendCall} from './serviceExchange.js';

/** Largest answer of a repeatable call in bytes. */
const maxAnswerBytes = 4 * 1024 * 1024;
const connectDeadlineMs = 1_000;
const retryAfterMs = 1_000;
const maxAttempts = 3;
const retryDelayMs = 20;
/**
 * Time limit of a dispatched operation. It continues past its callers'
 * deadlines, so that a retry with the same key can get the answer.
 */
export const operationTimeoutMs = 60_000;

/** Retries allowed per caller request, and the largest burst of retries. */
export const retryBudget = {ratio: 0.1, burst: 20};

/** The methods of the lease client that `ServiceDispatcher` uses. */
export type LeaseSource = Pick<LeaseClient, 'acquire' | 'release'>;

interface SendOptions {
  tracker: OutcomeTracker;
  operationKey?: string;
  /**
   * Called on the open connection before the first byte; a refusal stops the
   * call.
   */
  claim?: () => Refusal | undefined;
}

interface SendReport {
  end: LeaseEnd;
  result: Result<ServiceAnswer, Refusal>;
}

/** Sends calls to plain services and retries the repeatable ones. */
export class ServiceDispatcher implements OperationSender {
  constructor(
    private readonly leases: LeaseSource,
    /** Budget that all retries of the gateway share. */
    private readonly retries = new RequestBudget(retryBudget),
  ) {}

  /**
   * Sends a repeatable call. Retries after a failed connect are free; retries
   * after a broken connection take from the retry budget.
   */
  async dispatch(
    context: RequestContext,
    call: ServiceCall,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    if (!context.requestClass.repeatable) return err(buildClassRefusal());
    this.retries.refill();
    const tracker = new OutcomeTracker();
    for (let attempts = 1; ; attempts++) {
      const {end, result} = await this.send(context, call, {tracker});
      const shouldRetry =
        result.isErr() &&
        result.error.reason === RefusalReason.BackendServerFailed &&
        attempts < maxAttempts &&
        computeRemainingMs(context) > retryDelayMs;
      if (!shouldRetry) return result;
      if (end !== LeaseEnd.ConnectFailed && !this.retries.take()) {
        return err(buildBudgetRefusal(tracker, result.error));
      }
      await waitFor(retryDelayMs, context.signal);
    }
  }

  async sendOperation(
    context: RequestContext,
    call: ServiceCall,
    operationKey: string,
    claim: () => Refusal | undefined,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const tracker = new OutcomeTracker();
    const options = {tracker, operationKey, claim};
    return (await this.send(context, call, options)).result;
  }

  private async send(
    context: RequestContext,
    call: ServiceCall,
    options: SendOptions,
  ): Promise<SendReport> {
    const acquired = await this.leases.acquire(context, {
      kind: BackendServerKind.PlainService,
      service: call.service,
    });
    if (acquired.isErr()) {
      return {end: LeaseEnd.Unused, result: err(acquired.error)};
    }
    const lease = acquired.value;
    options.tracker.noteLeaseGranted();
    let end = LeaseEnd.Broken;
    try {
      const sent = await this.sendOnLease(lease, context, call, options);
      end = sent.end;
      return sent;
    } finally {
      this.leases.release(lease, {
        end,
        tokens: 0,
        ...(end === LeaseEnd.Completed
          ? {firstTokenMs: performance.now() - lease.grantedAtMs}
          : {}),
      });
    }
  }

  private async sendOnLease(
    lease: Lease,
    context: RequestContext,
    call: ServiceCall,
    {tracker, operationKey, claim}: SendOptions,
  ): Promise<SendReport> {
    const attempt = tracker.noteConnecting();
    const connected = await openConnection(
      lease.address,
      Math.min(connectDeadlineMs, computeRemainingMs(context)),
      context.signal,
    );
    if (connected.isErr()) {
      tracker.noteConnectFailed(attempt);
      const end = context.signal.aborted
        ? LeaseEnd.Unused
        : LeaseEnd.ConnectFailed;
      const {error} = connected;
      return {end, result: err(buildFailure(tracker, error, context))};
    }
    const refused = claim?.();
    if (refused) {
      connected.value.destroy();
      return {end: LeaseEnd.Unused, result: err(refused)};
    }
    tracker.noteFirstByteWritten(attempt);
    const exchanged = await sendCall({
      socket: connected.value,
      call,
      requestId: context.requestId,
      operationKey,
      maxAnswerBytes: claim ? maxOperationAnswerBytes : maxAnswerBytes,
      deadlineMs: claim ? operationTimeoutMs : computeRemainingMs(context),
      // A dispatched operation continues after its caller has disconnected.
      ...(claim ? {} : {signal: context.signal}),
    });
    if (exchanged.isErr()) {
      const {error} = exchanged;
      const end =
        !claim && context.signal.aborted ? LeaseEnd.Cancelled : LeaseEnd.Broken;
      return {end, result: err(buildFailure(tracker, error, context))};
    }
    tracker.noteComplete();
    return {end: LeaseEnd.Completed, result: ok(exchanged.value)};
  }
}

function buildFailure(
  tracker: OutcomeTracker,
  error: Error,
  {signal}: RequestContext,
): Refusal {
  const outcome = tracker.decide();
  if (signal.aborted) {
    const message = 'the caller closed the connection';
    return new Refusal(RefusalReason.CallerGone, outcome, message);
  }
  const reason =
    error instanceof DeadlineError
      ? RefusalReason.DeadlineExceeded
      : RefusalReason.BackendServerFailed;
  const message =
    error instanceof ConnectError
      ? 'the plain service could not be connected to'
      : error.message;
  return new Refusal(reason, outcome, message, {retryAfterMs, cause: error});
}

function buildBudgetRefusal(tracker: OutcomeTracker, cause: Refusal): Refusal {
  return new Refusal(
    RefusalReason.RetryBudgetSpent,
    tracker.decide(),
    'the plain service broke the connection, and no retry is left',
    {retryAfterMs, cause},
  );
}

function buildClassRefusal(): Refusal {
  return new Refusal(
    RefusalReason.InternalError,
    Outcome.NotRun,
    'a call that must not be repeated was sent without its record',
  );
}
