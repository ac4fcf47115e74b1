/** Keys of requests that stay the same when a request is sent again. */
import {h32Raw, h32} from '../node/hashFunctions.js';
import {computeCompactKey} from './compactKey.js';
import type {PromptPart} from './messageCodec.js';

/** Keys of prompt parts are below this, so that no request has the key of one. */
const firstRequestKey = 2 ** 32;

/**
 * Computes the key of a request, which doesn't depend on its attempt id.
 *
 * @example
 * computeRequestKey('/status/7', 'museum', Buffer.from('{"order":7}'))
 */
export function computeRequestKey(
  path: string,
  customer: string | undefined,
  body: Buffer,
): number {
  return firstRequestKey + h32(`${customer ?? ''}\0${path}`, h32Raw(body));
}

/** Tells the key of a request from that of a prompt part. */
export function isRequestKey(key: number): boolean {
  return key >= firstRequestKey;
}

/** Computes the keys of a prompt's parts without the request's own, the last. */
export function computeSharedPartKeys(parts: readonly PromptPart[]): number[] {
  return parts.slice(0, -1).map(({id}) => computeCompactKey(id));
}
