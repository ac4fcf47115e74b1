/** Serves chat requests, as a stream or as one complete answer. */
import {err, ok, type Result} from 'neverthrow';
import type {
  ChatChunk,
  ChatCompletion,
  ChatRequest,
} from '../protocol/callerApi.js';
import type {Refusal} from '../protocol/refusal.js';
import type {ChatDependencies} from './chatDependencies.js';
import {ChatSession, type ChatChunkHandler} from './chatSession.js';
import {noCrashSuspects} from './crashSuspects.js';
import {EngineConnections} from './engineConnections.js';
import {GatewayMetrics} from './gatewayMetrics.js';
import {HedgePolicy} from './hedgePolicy.js';
import {LatencyEstimates} from './latencyEstimates.js';
import type {LeaseSource} from './lease.js';
import {RequestBudget} from '../node/requestBudget.js';
import type {RequestContext} from './requestContext.js';

/** Retries allowed per request, and the largest burst of retries. */
const retryBudget = {ratio: 0.1, burst: 20};

/** Serves chat requests and counts those in progress. */
export class ChatService {
  private readonly dependencies: ChatDependencies;
  private active = 0;
  private readonly idleListeners = new Set<() => void>();

  constructor(leases: LeaseSource, parts: Partial<ChatDependencies> = {}) {
    this.dependencies = {
      connections: new EngineConnections(),
      retries: new RequestBudget(retryBudget),
      hedges: new HedgePolicy(),
      latencies: new LatencyEstimates(),
      suspects: noCrashSuspects,
      metrics: new GatewayMetrics(),
      ...parts,
      leases,
    };
  }

  /** Relays an answer chunk by chunk; succeeds when the answer is complete. */
  async stream(
    context: RequestContext,
    request: ChatRequest,
    onChunk: ChatChunkHandler,
  ): Promise<Result<void, Refusal>> {
    this.active += 1;
    try {
      return await new ChatSession(
        this.dependencies,
        context,
        request,
        onChunk,
      ).run();
    } finally {
      this.active -= 1;
      if (this.active === 0) this.announceIdle();
    }
  }

  /** Collects a complete answer. */
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

  /** Number of requests in progress, including waiting ones. */
  countActive(): number {
    return this.active;
  }

  /** Waits until no request is in progress, then closes idle connections. */
  async drain(): Promise<void> {
    if (this.active > 0) {
      await new Promise<void>(resolve => this.idleListeners.add(resolve));
    }
    await this.dependencies.connections.stop();
  }

  /** State for the gateway's dump. */
  describe(): object {
    const {connections, retries, hedges, latencies, metrics} =
      this.dependencies;
    return {
      active: this.active,
      connections: connections.describe(),
      retryBudget: retries.describe(),
      hedging: hedges.describe(),
      latencies: latencies.describe(),
      metrics: metrics.describe(),
    };
  }

  private announceIdle(): void {
    for (const listener of this.idleListeners) listener();
    this.idleListeners.clear();
  }
}

function buildCompletion(
  requestId: string,
  model: string,
  chunks: readonly ChatChunk[],
): ChatCompletion {
  const choices = chunks.map(chunk => chunk.choices[0]);
  const last = choices.at(-1);
  // An answer may end with a chunk that carries a finish reason and no token.
  const tokens = choices.filter(
    ({delta, finish_reason: reason}) => reason === null || delta.content,
  );
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
          content: choices.map(({delta}) => delta.content ?? '').join(''),
        },
        finish_reason: last?.finish_reason ?? 'stop',
      },
    ],
    usage: {completion_tokens: tokens.length},
  };
}
