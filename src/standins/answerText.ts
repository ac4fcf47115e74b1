/**
 * Deterministic answers of the model engine stand-in. A token depends only on
 * the model, the messages and its index, so an answer can be compared byte for
 * byte even if several engines generated parts of it.
 */
import crypto from 'node:crypto';
import xxhash from 'xxhash-wasm';
import type {ChatRequest} from '../protocol/callerApi.js';

const {h32} = await xxhash();

/** Factor by which the token count of a long job is multiplied. */
export const longJobFactor = 20;
const hashRange = 2 ** 32;

/** Engine options that determine the number of tokens. */
export interface AnswerLengthOptions {
  /** Mean number of tokens of a job that is not long. */
  meanTokens: number;
  /** Share of long jobs, 0 to 1. */
  longJobShare: number;
}

/** Fields of a chat request that determine its answer. */
export interface AnswerRequest extends Pick<
  ChatRequest,
  'model' | 'messages' | 'max_tokens'
> {
  /** Number of tokens, before `max_tokens` limits it. */
  standin_tokens?: unknown;
}

/** What an engine generates for a request. */
export interface AnswerPlan {
  /** Digest of model and messages, hexadecimal. */
  fingerprint: string;
  tokenCount: number;
  finishReason: 'stop' | 'length';
}

/** Computes the digest of model and messages that an answer depends on. */
export function computeAnswerFingerprint(
  request: Pick<AnswerRequest, 'model' | 'messages'>,
): string {
  const hash = crypto.createHash('sha256');
  hash.update(`${request.model}\0`);
  for (const message of request.messages) {
    hash.update(`${message.role}\0${message.content}\0`);
  }
  return hash.digest('hex');
}

/** Determines the length and finish reason of the answer to a request. */
export function planAnswer(
  request: AnswerRequest,
  options: AnswerLengthOptions,
): AnswerPlan {
  const fingerprint = computeAnswerFingerprint(request);
  const fullTokenCount = chooseTokenCount(fingerprint, request, options);
  const limit = request.max_tokens ?? Infinity;
  return {
    fingerprint,
    tokenCount: Math.min(fullTokenCount, limit),
    finishReason: fullTokenCount > limit ? 'length' : 'stop',
  };
}

/** Builds the token at an index of an answer. */
export function buildToken(fingerprint: string, index: number): string {
  return `${h32(`${fingerprint} ${index}`).toString(36)} `;
}

/**
 * Computes the full text of the answer to a request, for comparison in tests.
 *
 * @example
 * computeExpectedText({model: 'm', messages, standin_tokens: 5}, engine.options)
 */
export function computeExpectedText(
  request: AnswerRequest,
  options: AnswerLengthOptions,
): string {
  const {fingerprint, tokenCount} = planAnswer(request, options);
  return Array.from({length: tokenCount}, (_, index) =>
    buildToken(fingerprint, index),
  ).join('');
}

/**
 * Returns `standin_tokens` if given. Otherwise draws a count that is uniform
 * from 1 to `2 * meanTokens - 1` and is multiplied for long jobs. The draw
 * depends only on the fingerprint, so that every engine plans the same answer.
 */
function chooseTokenCount(
  fingerprint: string,
  {standin_tokens: requestedCount}: AnswerRequest,
  {meanTokens, longJobShare}: AnswerLengthOptions,
): number {
  if (typeof requestedCount === 'number' && requestedCount >= 1)
    return Math.floor(requestedCount);
  const share = h32(`${fingerprint} length`) / hashRange;
  const count = 1 + Math.floor(share * (2 * meanTokens - 1));
  const isLong = h32(`${fingerprint} long`) / hashRange < longJobShare;
  return isLong ? count * longJobFactor : count;
}
