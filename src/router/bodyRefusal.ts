/** Refusals of requests whose body a limit has ended. */
import {InputLimit, type InputLimitError} from '../input/inputMeter.js';
import {assertNever} from '../protocol/assertNever.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {estimateRetryAfterMs} from './returnTime.js';

/**
 * Builds the refusal of a request that hasn't been read to its end. One for which
 * there was no memory may come again soon; one that is too long may not.
 *
 * @example
 * body.mapErr(error => exchange.refuse(buildBodyRefusal(error)));
 */
export function buildBodyRefusal({limit, message}: InputLimitError): Refusal {
  switch (limit) {
    case InputLimit.Length:
      return new Refusal(
        RefusalReason.BodyTooLarge,
        Outcome.NotRun,
        `body is ${message}`,
      );
    case InputLimit.Memory:
      return new Refusal(RefusalReason.QueueFull, Outcome.NotRun, message, {
        retryAfterMs: estimateRetryAfterMs(0, Math.random),
      });
    default:
      return assertNever(limit);
  }
}
