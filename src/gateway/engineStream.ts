/** One streamed answer of a model engine. */
import {createParser} from 'eventsource-parser';
import {err, ok, type Result} from 'neverthrow';
import {request as sendRequest} from 'undici';
import type {ChatRequest} from '../protocol/callerApi.js';
import {
  engineChunkSchema,
  type EngineChatRequest,
  type EngineChunk,
} from '../protocol/engineApi.js';
import {
  BackendServerError,
  CrossedAnswerError,
  type AnvilstallError,
} from '../protocol/errors.js';
import type {Lease} from './leaseClient.js';

/** Passes on each chunk of a request's own answer, in order. */
export type ChunkHandler = (chunk: EngineChunk) => Promise<void>;

export interface EngineStreamOptions {
  lease: Lease;
  request: ChatRequest;
  /** Tokens that the caller already holds. */
  resumeFrom: number;
  signal: AbortSignal;
  onChunk: ChunkHandler;
}

/**
 * Sends a request to the leased engine and relays its answer. Succeeds only
 * when the answer is whole.
 */
export async function relayEngineStream(
  options: EngineStreamOptions,
): Promise<Result<void, AnvilstallError>> {
  try {
    return await readStream(options);
  } catch (cause) {
    return err(
      cause instanceof BackendServerError
        ? cause
        : new BackendServerError(`engine stream failed: ${String(cause)}`, {
            cause,
          }),
    );
  }
}

async function readStream(
  options: EngineStreamOptions,
): Promise<Result<void, AnvilstallError>> {
  const {lease, request, resumeFrom, signal, onChunk} = options;
  const {requestId} = lease.context;
  const body: EngineChatRequest = {
    ...request,
    stream: true,
    priority: lease.priority,
    resume_from: resumeFrom,
  };
  const response = await sendRequest(
    `http://${lease.address}/v1/chat/completions`,
    {
      method: 'POST',
      headers: {'content-type': 'application/json', 'x-request-id': requestId},
      body: JSON.stringify(body),
      signal,
    },
  );
  if (response.statusCode !== 200) {
    await response.body.dump();
    return err(new BackendServerError(`engine: status ${response.statusCode}`));
  }
  const pending: string[] = [];
  const parser = createParser({onEvent: event => pending.push(event.data)});
  const decoder = new TextDecoder();
  let nextIndex = resumeFrom;
  let finished = false;
  for await (const bytes of response.body) {
    parser.feed(decoder.decode(bytes as Buffer, {stream: true}));
    for (const data of pending.splice(0)) {
      if (data === '[DONE]') {
        if (finished) return ok();
        return err(new BackendServerError('engine ended without a reason'));
      }
      const chunk = engineChunkSchema.parse(JSON.parse(data));
      if (chunk.id !== requestId) {
        return err(new CrossedAnswerError(`chunk of request ${chunk.id}`));
      }
      if (chunk.token_index !== nextIndex) {
        return err(
          new CrossedAnswerError(
            `token ${chunk.token_index} where ${nextIndex} was expected`,
          ),
        );
      }
      nextIndex += 1;
      lease.tokens += 1;
      finished = chunk.choices[0].finish_reason !== null;
      await onChunk(chunk);
    }
  }
  return err(new BackendServerError('engine closed before the answer ended'));
}
