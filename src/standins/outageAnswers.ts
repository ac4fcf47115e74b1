/** Responses of a platform stand-in service that is down or overloaded. */
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {Context} from 'hono';
import {Outage} from './platformFaults.js';
import type {ReadRateLimiter} from './readRateLimiter.js';
import type {StandinEnv} from './standinServer.js';

/** Answers as the outage demands; returns undefined if there is none. */
export function answerOutage(
  context: Context<StandinEnv>,
  outage: Outage,
): Response | undefined {
  switch (outage) {
    case Outage.None:
      return undefined;
    case Outage.Status503:
      return context.json({error: 'outage'}, 503);
    case Outage.Dropped:
      context.env.incoming.socket.destroy();
      return RESPONSE_ALREADY_SENT;
    case Outage.Silent:
      // Tells the server that the handler responds itself; nothing is sent.
      return RESPONSE_ALREADY_SENT;
  }
}

/** Refuses a read above the rate limit. */
export function refuseRead(
  context: Context,
  budget: ReadRateLimiter,
): Response {
  const retryAfterMs = budget.getWaitMs();
  context.header('retry-after', String(Math.ceil(retryAfterMs / 1000)));
  return context.json({error: 'read budget is spent', retryAfterMs}, 429);
}
