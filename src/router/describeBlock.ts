/** Message of a refusal of what has crashed backend servers. */
import {isRequestKey} from './requestKey.js';

/**
 * Says what is blocked and why.
 *
 * @param suspect - key of a request or of a part of a prompt
 * @example
 * describeBlock(key, 3); // 'the request crashed 3 backend servers'
 */
export function describeBlock(suspect: number, crashes: number): string {
  const what = isRequestKey(suspect) ? 'the request' : 'a part of the prompt';
  return `${what} crashed ${crashes} backend servers`;
}

/** Describes a blocked suspect in the state dump. */
export function describeBlocked([key, crashes]: readonly [
  suspect: number,
  crashes: number,
]): object {
  const kind = isRequestKey(key) ? 'request' : 'promptPart';
  return {kind, key, crashes};
}
