/** Serves model requests: leases, streams, assembly of whole answers. */
import {err, ok, type Result} from 'neverthrow';
import {BackendServerKind} from '../config/configuration.js';
import type {
  ChatChunk,
  ChatCompletion,
  ChatRequest,
} from '../protocol/callerApi.js';
import {LeaseEnd} from '../protocol/leaseMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {relayEngineStream, type ChunkHandler} from './engineStream.js';
import type {LeaseClient} from './leaseClient.js';
import type {RequestContext} from './requestContext.js';

/** Serves chat requests, streamed or whole. */
export class ChatService {
  constructor(private readonly leases: LeaseClient) {}

  /** Relays an answer chunk by chunk; succeeds when it was whole. */
  async stream(
    context: RequestContext,
    request: ChatRequest,
    onChunk: (chunk: ChatChunk) => Promise<void>,
  ): Promise<Result<void, Refusal>> {
    const acquired = await this.leases.acquire(context, {
      kind: BackendServerKind.ModelEngine,
      model: request.model,
    });
    if (acquired.isErr()) return err(acquired.error);
    const lease = acquired.value;
    const relay: ChunkHandler = ({token_index: _index, ...chunk}) =>
      onChunk(chunk as ChatChunk);
    const result = await relayEngineStream({
      lease,
      request,
      resumeFrom: 0,
      signal: context.signal,
      onChunk: relay,
    });
    this.leases.release(lease, {
      end: result.isOk() ? LeaseEnd.Completed : LeaseEnd.Broken,
      tokens: lease.tokens,
    });
    return result.mapErr(
      error =>
        new Refusal(
          RefusalReason.BackendServerFailed,
          lease.tokens > 0 ? Outcome.Partial : Outcome.MayHaveRun,
          error.message,
        ),
    );
  }

  /** Collects a whole answer. */
  async collect(
    context: RequestContext,
    request: ChatRequest,
  ): Promise<Result<ChatCompletion, Refusal>> {
    const chunks: ChatChunk[] = [];
    const result = await this.stream(context, request, async chunk => {
      chunks.push(chunk);
    });
    if (result.isErr()) return err(result.error);
    return ok(buildCompletion(context.requestId, request.model, chunks));
  }
}

function buildCompletion(
  requestId: string,
  model: string,
  chunks: readonly ChatChunk[],
): ChatCompletion {
  const last = chunks.at(-1);
  return {
    id: requestId,
    object: 'chat.completion',
    created: chunks[0]?.created ?? 0,
    model,
    choices: [
      {
        index: 0,
        message: {
          role: 'assistant',
          content: chunks.map(c => c.choices[0].delta.content ?? '').join(''),
        },
        finish_reason: last?.choices[0].finish_reason ?? 'stop',
      },
    ],
    usage: {completion_tokens: chunks.length},
  };
}
