/** Calls to plain services from the load driver. */
import type {Dispatcher} from 'undici';
import {CallerHeader} from '../../../src/protocol/callerApi.js';
import type {RefusalBody} from '../../../src/protocol/refusal.js';
import type {ServiceAnswer} from '../../../src/standins/plainService.js';
import type {Arrival} from './arrivals.js';
import {
  buildCallerHeaders,
  describeError,
  type SendResult,
} from './chatSender.js';
import {RequestEnd} from './requestRecord.js';

export interface ServiceTarget {
  url: string;
  service: string;
  /** Whole key of a non-repeatable call; left out for others. */
  operationKey?: string;
  deadlineMs: number;
}

/** Sends one call; resolves in any case, the end tells what happened. */
export async function sendServiceCall(
  client: Dispatcher,
  arrival: Arrival,
  target: ServiceTarget,
  signal: AbortSignal,
): Promise<SendResult> {
  const startedAtMs = performance.now();
  const result: SendResult = {
    end: RequestEnd.Broken,
    totalMs: 0,
    tokens: 0,
    gapsMs: [],
  };
  try {
    const response = await client.request({
      origin: target.url,
      path: `/v1/services/${target.service}${buildPath(arrival)}`,
      method: target.operationKey ? 'POST' : 'GET',
      headers: {
        ...buildCallerHeaders(arrival.customerId, arrival.className),
        [CallerHeader.DeadlineMs]: String(target.deadlineMs),
        ...(target.operationKey
          ? {[CallerHeader.OperationKey]: target.operationKey}
          : {}),
      },
      body: target.operationKey
        ? JSON.stringify({item: arrival.id, count: 1})
        : null,
      signal,
    });
    const body = (await response.body.json()) as ServiceAnswer &
      Partial<RefusalBody>;
    if (response.statusCode === 200) {
      result.firstTokenMs = performance.now() - startedAtMs;
      result.end = checkAnswer(arrival, target, body);
    } else if (body.error?.reason) {
      result.end = RequestEnd.Refused;
      result.reason = body.error.reason;
      result.outcome = body.error.outcome;
    } else {
      result.reason = `HTTP ${response.statusCode}`;
    }
  } catch (error) {
    result.end = signal.aborted
      ? (signal.reason as RequestEnd)
      : RequestEnd.Broken;
    if (!signal.aborted) result.reason = describeError(error);
  }
  result.totalMs = performance.now() - startedAtMs;
  return result;
}

function buildPath(arrival: Arrival): string {
  return `/orders/${arrival.id}`;
}

/** The answer must name this request's path and operation key. */
function checkAnswer(
  arrival: Arrival,
  target: ServiceTarget,
  answer: ServiceAnswer,
): RequestEnd {
  const isOwn =
    answer.path === buildPath(arrival) &&
    answer.operationKey === (target.operationKey ?? null);
  return isOwn ? RequestEnd.Complete : RequestEnd.WrongAnswer;
}
