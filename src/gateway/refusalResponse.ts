/** Builds the HTTP responses of refusals. */
import {CallerHeader} from '../protocol/callerApi.js';
import type {Refusal} from '../protocol/refusal.js';

function buildRefusalHeaders(
  requestId: string,
  refusal: Refusal,
): Record<string, string> {
  const {retryAfterMs} = refusal;
  return {
    'content-type': 'application/json',
    [CallerHeader.RequestId]: requestId,
    [CallerHeader.Outcome]: refusal.outcome,
    ...(retryAfterMs === undefined
      ? {}
      : {'retry-after': String(Math.ceil(retryAfterMs / 1000))}),
  };
}

/**
 * Builds the response that refuses a request.
 *
 * @example
 * if (body.isErr()) return buildRefusalResponse(requestId, body.error);
 */
export function buildRefusalResponse(
  requestId: string,
  refusal: Refusal,
): Response {
  return new Response(JSON.stringify(refusal.toBody(requestId)), {
    status: refusal.status,
    headers: buildRefusalHeaders(requestId, refusal),
  });
}

/** Formats the raw HTTP response to bytes that are no valid HTTP request. */
export function formatRawRefusal(requestId: string, refusal: Refusal): string {
  const body = JSON.stringify(refusal.toBody(requestId));
  const headers = {
    ...buildRefusalHeaders(requestId, refusal),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${refusal.status} Refused\r\n${lines.join('')}\r\n${body}`;
}
