/** Runs and retries the operations that this gateway is responsible for. */
import {createHash} from 'node:crypto';
import {err, type Result} from 'neverthrow';
import {waitFor} from '../node/delay.js';
import type {
  ServiceAnswer,
  ServiceCall,
} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {OperationAttempt} from './operationAttempt.js';
import type {
  OperationAnswer,
  OperationIdentity,
  OperationRecord,
} from './operationRecord.js';
import type {OperationRecords} from './operationRecords.js';
import type {RequestContext} from './requestContext.js';

/** Attempts to connect for one operation before its callers get an error. */
const maxConnectAttempts = 3;
const connectRetryDelayMs = 50;

/** Sends operations to backend servers. */
export interface OperationSender {
  /**
   * Waits for a slot, opens a connection and calls `claim`. Writes only if
   * `claim` returns no refusal. A failure to connect is reported as
   * `backendServerFailed` with outcome `notRun`.
   */
  sendOperation(
    context: RequestContext,
    call: ServiceCall,
    operationKey: string,
    claim: () => Refusal | undefined,
  ): Promise<Result<ServiceAnswer, Refusal>>;
}

/** Runs operations and keeps their state in their records. */
export class OperationExecutor {
  constructor(
    private readonly records: OperationRecords,
    private readonly sender: OperationSender,
  ) {}

  /** Runs an operation, joins it, or returns its recorded answer. */
  async execute(
    context: RequestContext,
    call: ServiceCall,
    key: Omit<OperationIdentity, 'bodyDigest'>,
  ): Promise<OperationAnswer> {
    const bodyDigest = computeCallDigest(context.className, call);
    const opened = this.records.open({...key, bodyDigest}, call.body.length);
    if (opened.isErr()) return err(opened.error);
    const record = opened.value;
    const answer = record.join(context);
    const attempt = record.beginAttempt();
    if (attempt) void this.runAttempt(record, attempt, context, call);
    else this.records.refreshCharge(record);
    return answer;
  }

  private async runAttempt(
    record: OperationRecord,
    attempt: OperationAttempt,
    context: RequestContext,
    call: ServiceCall,
  ): Promise<void> {
    for (let tries = 1; !attempt.signal.aborted; tries++) {
      const answer = await this.sendOnce(record, attempt, context, call);
      const retry =
        answer.isErr() &&
        record.isWaitingFor(attempt) &&
        this.shouldRetry(record, answer.error, tries);
      if (!retry) return record.settle(attempt, answer);
      await waitFor(connectRetryDelayMs, attempt.signal);
    }
  }

  private async sendOnce(
    record: OperationRecord,
    attempt: OperationAttempt,
    context: RequestContext,
    call: ServiceCall,
  ): Promise<OperationAnswer> {
    const attemptContext: RequestContext = {
      ...context,
      deadlineAtMs: record.getLatestDeadlineAtMs(),
      signal: attempt.signal,
    };
    try {
      return await this.sender.sendOperation(
        attemptContext,
        call,
        record.identity.operationKey,
        () => attempt.tryDispatch(),
      );
    } catch (cause) {
      // The message of an unknown error may quote the request.
      const error = cause instanceof Error ? cause.name : typeof cause;
      context.log.raise('operation attempt failed', {error});
      // The record replaces this outcome if nothing was dispatched.
      return err(
        new Refusal(
          RefusalReason.InternalError,
          Outcome.MayHaveRun,
          'the operation failed in the gateway',
        ),
      );
    }
  }

  private shouldRetry(
    record: OperationRecord,
    refusal: Refusal,
    tries: number,
  ): boolean {
    const leftMs = record.getLatestDeadlineAtMs() - performance.now();
    if (leftMs <= connectRetryDelayMs) return false;
    // A caller with a later deadline joined during the attempt.
    if (refusal.reason === RefusalReason.DeadlineExceeded) return true;
    const connectFailed =
      refusal.reason === RefusalReason.BackendServerFailed &&
      refusal.outcome === Outcome.NotRun;
    return connectFailed && tries < maxConnectAttempts;
  }
}

/**
 * Computes a digest of the class and of the whole call. Requests with the same
 * key and digest are the same operation.
 *
 * @example
 * computeCallDigest('reorder', call) === computeCallDigest('reorder', retry)
 */
export function computeCallDigest(
  className: string,
  call: ServiceCall,
): string {
  const {service, method, path, contentType = '', body} = call;
  return createHash('sha256')
    .update(
      JSON.stringify([className, service, method, path, contentType, body]),
    )
    .digest('base64url');
}
