/** Why the router ends requests without a complete answer. */
import {
  DeadlineError,
  SilentConnectionError,
  type AnvilstallError,
} from '../protocol/errors.js';

/** Why the router closes a connection without a complete answer. */
export enum BreakCause {
  /** Too little time is left for another attempt, or none for this one. */
  Deadline = 'deadline',
  /** The server broke the answer off, or answered a resumption with an error. */
  ServerFailed = 'serverFailed',
  /** The server sent nothing for too long. */
  ServerSilent = 'serverSilent',
  /** No server is left that may take the request. */
  NoServerLeft = 'noServerLeft',
  /** The request was sent to as many servers as it may be. */
  SendLimit = 'sendLimit',
  /** The router may make no more retries. */
  RetryBudget = 'retryBudget',
  /** The request or a part of its prompt crashes servers. */
  Quarantined = 'quarantined',
  RouterStopping = 'routerStopping',
  /** An error in the router itself. */
  RouterFailed = 'routerFailed',
}

/**
 * Returns why a stream is broken off whose attempt has failed.
 *
 * @example
 * exchange.abortStream(classifyBreak(error));
 */
export function classifyBreak(error: AnvilstallError): BreakCause {
  if (error instanceof DeadlineError) return BreakCause.Deadline;
  return error instanceof SilentConnectionError
    ? BreakCause.ServerSilent
    : BreakCause.ServerFailed;
}
