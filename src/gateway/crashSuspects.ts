/** Lookup of requests that are suspected of crashing backend servers. */
import crypto from 'node:crypto';
import type {ChatRequest} from '../protocol/callerApi.js';

/**
 * Suspect marks of requests that were in flight when a backend server crashed.
 */
export interface CrashSuspects {
  /** Number of crashes during which the request was in flight. */
  countCrashes(fingerprint: string): number;
  /** True when the request must not run on any backend server. */
  hasReachedCrashLimit(fingerprint: string): boolean;
  /** Milliseconds until a refused request may run again, if known. */
  getRemainingMs?(fingerprint: string): number;
}

/** A registry without marks. */
export const noCrashSuspects: CrashSuspects = {
  countCrashes: () => 0,
  hasReachedCrashLimit: () => false,
};

const fingerprintLength = 16;

/**
 * Digest of customer, model and messages, which is the same for each copy of a
 * request that its caller sends again. The length of each part is hashed too,
 * so that the boundaries between parts count.
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
