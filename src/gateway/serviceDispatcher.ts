/** Sends calls to plain services, each on a connection of its own. */
import {err, ok, type Result} from 'neverthrow';
import {BackendServerKind} from '../config/configuration.js';
import {LeaseEnd} from '../protocol/leaseMessages.js';
import type {
  ServiceAnswer,
  ServiceCall,
} from '../protocol/operationMessages.js';
import {DeadlineError} from '../protocol/errors.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {Lease, LeaseClient} from './leaseClient.js';
import type {OperationSender} from './operationExecutor.js';
import {maxOperationAnswerBytes} from './operationRecords.js';
import {OutcomeTracker} from './outcomeTracker.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';
import {openConnection} from './serviceConnection.js';
import {sendCall} from './serviceExchange.js';

/** Largest answer of a repeatable call in bytes. */
const maxAnswerBytes = 4 * 1024 * 1024;
const connectDeadlineMs = 1_000;
const connectRetryAfterMs = 1_000;
/**
 * A dispatched operation goes on for this time, also past its callers'
 * deadlines, so that a retry with the same key can get the answer.
 */
export const operationRunLimitMs = 60_000;

/** What the dispatcher needs of the lease client. */
export type LeaseSource = Pick<LeaseClient, 'acquire' | 'release'>;

interface SendOptions {
  tracker: OutcomeTracker;
  operationKey?: string;
  /** Asked on the open connection, before the first byte. */
  claim?: () => Refusal | undefined;
}

/** Makes attempts of calls to plain services. */
export class ServiceDispatcher implements OperationSender {
  constructor(private readonly leases: LeaseSource) {}

  /** Waits for a slot and sends a repeatable call. */
  async dispatch(
    context: RequestContext,
    call: ServiceCall,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    return this.send(context, call, {tracker: new OutcomeTracker()});
  }

  async sendOperation(
    context: RequestContext,
    call: ServiceCall,
    operationKey: string,
    claim: () => Refusal | undefined,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const tracker = new OutcomeTracker();
    return this.send(context, call, {tracker, operationKey, claim});
  }

  private async send(
    context: RequestContext,
    call: ServiceCall,
    options: SendOptions,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const acquired = await this.leases.acquire(context, {
      kind: BackendServerKind.PlainService,
      service: call.service,
    });
    if (acquired.isErr()) return err(acquired.error);
    const lease = acquired.value;
    options.tracker.noteLeaseGranted();
    let end = LeaseEnd.Broken;
    try {
      const sent = await this.sendOnLease(lease, context, call, options);
      end = sent.end;
      return sent.result;
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
  ): Promise<{end: LeaseEnd; result: Result<ServiceAnswer, Refusal>}> {
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
      return {end, result: err(buildFailure(tracker, error))};
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
      deadlineMs: claim ? operationRunLimitMs : computeRemainingMs(context),
    });
    if (exchanged.isErr()) {
      const {error} = exchanged;
      const result = err(buildFailure(tracker, error));
      return {end: LeaseEnd.Broken, result};
    }
    tracker.noteComplete();
    return {end: LeaseEnd.Completed, result: ok(exchanged.value)};
  }
}

function buildFailure(tracker: OutcomeTracker, error: Error): Refusal {
  return new Refusal(
    error instanceof DeadlineError
      ? RefusalReason.DeadlineExceeded
      : RefusalReason.BackendServerFailed,
    tracker.decide(),
    tracker.hasWritten()
      ? error.message
      : 'the plain service could not be connected to',
    {
      cause: error,
      ...(tracker.hasWritten() ? {} : {retryAfterMs: connectRetryAfterMs}),
    },
  );
}
