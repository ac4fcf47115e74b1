/** What the gateway asks about requests that crash backend servers. */
import crypto from 'node:crypto';
import type {ChatRequest} from '../protocol/callerApi.js';

/** Marks of requests that were in flight when a backend server crashed. */
export interface CrashSuspects {
  /** Crashes at which the request was in flight. */
  countCrashes(fingerprint: string): number;
  /** True when the request must not run anywhere. */
  isGuilty(fingerprint: string): boolean;
  /** Milliseconds until the marks expire, where that is known. */
  getRemainingMs?(fingerprint: string): number;
}

/** Knows of no crash. */
export const noCrashSuspects: CrashSuspects = {
  countCrashes: () => 0,
  isGuilty: () => false,
};

const fingerprintLength = 16;

/**
 * Digest of customer, model and messages: the same for each copy of a request
 * that its caller sends again. Lengths keep the parts apart.
 *
 * @example
 * computeFingerprint('acme', {model: 'm', messages, stream: true})
 */
export function computeFingerprint(
  customerId: string,
  request: Pick<ChatRequest, 'model' | 'messages'>,
): string {
  const hash = crypto.createHash('sha256');
  const parts = [customerId, request.model];
  for (const {role, content} of request.messages) parts.push(role, content);
  for (const part of parts) hash.update(`${part.length}:${part}`);
  return hash.digest('hex').slice(0, fingerprintLength);
}
