/** Error answers for requests that are not, or not completely, served. */
import {z} from 'zod';
import {Outcome} from './outcome.js';

/** Closed set of reasons; the caller documentation says what to do on each. */
export enum RefusalReason {
  MalformedBody = 'malformedBody',
  BodyTooLarge = 'bodyTooLarge',
  BodyTooDeep = 'bodyTooDeep',
  BadHeader = 'badHeader',
  BadKey = 'badKey',
  NotPermitted = 'notPermitted',
  NotFound = 'notFound',
  UnknownClass = 'unknownClass',
  UnknownModel = 'unknownModel',
  UnknownService = 'unknownService',
  CustomerLimit = 'customerLimit',
  QueueFull = 'queueFull',
  TargetUnreachable = 'targetUnreachable',
  DeadlineExceeded = 'deadlineExceeded',
  NoBackendServer = 'noBackendServer',
  BackendServerFailed = 'backendServerFailed',
  RetryBudgetSpent = 'retryBudgetSpent',
  RequestCrashesServers = 'requestCrashesServers',
  OperationKeyMissing = 'operationKeyMissing',
  OperationKeyInvalid = 'operationKeyInvalid',
  OperationKeyReused = 'operationKeyReused',
  OperationPrefixExpired = 'operationPrefixExpired',
  IssuerUnavailable = 'issuerUnavailable',
  ShuttingDown = 'shuttingDown',
  NotReady = 'notReady',
  CallerGone = 'callerGone',
  InternalError = 'internalError',
}

/** HTTP status of each reason. */
const statusByReason: Record<RefusalReason, number> = {
  [RefusalReason.MalformedBody]: 400,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.BodyTooDeep]: 400,
  [RefusalReason.BadHeader]: 400,
  [RefusalReason.BadKey]: 401,
  [RefusalReason.NotPermitted]: 403,
  [RefusalReason.NotFound]: 404,
  [RefusalReason.UnknownClass]: 400,
  [RefusalReason.UnknownModel]: 404,
  [RefusalReason.UnknownService]: 404,
  [RefusalReason.CustomerLimit]: 429,
  [RefusalReason.QueueFull]: 503,
  [RefusalReason.TargetUnreachable]: 503,
  [RefusalReason.DeadlineExceeded]: 504,
  [RefusalReason.NoBackendServer]: 503,
  [RefusalReason.BackendServerFailed]: 502,
  [RefusalReason.RetryBudgetSpent]: 503,
  [RefusalReason.RequestCrashesServers]: 422,
  [RefusalReason.OperationKeyMissing]: 400,
  [RefusalReason.OperationKeyInvalid]: 400,
  [RefusalReason.OperationKeyReused]: 409,
  [RefusalReason.OperationPrefixExpired]: 410,
  [RefusalReason.IssuerUnavailable]: 503,
  [RefusalReason.ShuttingDown]: 503,
  [RefusalReason.NotReady]: 503,
  [RefusalReason.CallerGone]: 499,
  [RefusalReason.InternalError]: 500,
};

/** Body of each error answer, and of the last event of a broken stream. */
export const refusalBodySchema = z.object({
  error: z.object({
    type: z.literal('refusal'),
    reason: z.enum(RefusalReason),
    message: z.string(),
    outcome: z.enum(Outcome),
    requestId: z.string(),
    /** Milliseconds to wait before a retry. */
    retryAfterMs: z.number().int().nonnegative().optional(),
  }),
});
export type RefusalBody = z.infer<typeof refusalBodySchema>;

/**
 * Error for a request that gets no complete answer, with its known outcome.
 *
 * @example
 * return err(new Refusal(RefusalReason.QueueFull, Outcome.NotRun,
 *     'the queue of class "caption" is full', {retryAfterMs: 800}));
 */
export class Refusal extends Error {
  override readonly name = 'Refusal';
  readonly retryAfterMs?: number;

  constructor(
    readonly reason: RefusalReason,
    readonly outcome: Outcome,
    message: string,
    options: {retryAfterMs?: number; cause?: unknown} = {},
  ) {
    super(message, {cause: options.cause});
    if (options.retryAfterMs !== undefined) {
      this.retryAfterMs = Math.max(0, Math.ceil(options.retryAfterMs));
    }
  }

  /** HTTP status of the error answer. */
  get status(): number {
    return statusByReason[this.reason];
  }

  /** Builds the body of the error answer. */
  toBody(requestId: string): RefusalBody {
    return {
      error: {
        type: 'refusal',
        reason: this.reason,
        message: this.message,
        outcome: this.outcome,
        requestId,
        ...(this.retryAfterMs === undefined
          ? {}
          : {retryAfterMs: this.retryAfterMs}),
      },
    };
  }
}
