/** Stand-in of a model engine, with the HTTP API of `engineApi.ts`. */
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context} from 'hono';
import {z} from 'zod';
import {chatRequestSchema} from '../protocol/callerApi.js';
import {
  computePrefixDigest,
  enginePrioritySchema,
  EngineRole,
  type EngineState,
} from '../protocol/engineApi.js';
import {buildToken, planAnswer, type AnswerPlan} from './answerText.js';
import {BatchScheduler, type Job} from './batchScheduler.js';
import {
  addOne,
  buildEngineCounters,
  type EngineCounters,
} from './engineCounters.js';
import {
  engineOptionsSchema,
  type EngineOptions,
  type EngineOptionsInput,
} from './engineOptions.js';
import {EngineStream} from './engineStream.js';
import {LoadHistory} from './loadHistory.js';
import {PrefixCache} from './prefixCache.js';
import {SeededRandom} from './seededRandom.js';
import {StandinServer, type StandinEnv} from './standinServer.js';

const engineRequestSchema = chatRequestSchema.extend({
  priority: z.number().int().default(0),
  resume_from: z.number().int().nonnegative().default(0),
});
type EngineRequest = z.output<typeof engineRequestSchema>;

interface EngineJob extends Job {
  readonly model: string;
  readonly plan: AnswerPlan;
  readonly firstIndex: number;
  stream: EngineStream;
}

/** A model engine that generates hashed words. */
export class ModelEngine {
  private server!: StandinServer;
  private readonly scheduler: BatchScheduler<EngineJob>;
  private readonly counters: EngineCounters = buildEngineCounters();
  private readonly random: SeededRandom;
  private load: LoadHistory;
  private cache: PrefixCache;
  private state: EngineState;
  private arrivals = 0;

  private constructor(readonly options: EngineOptions) {
    this.random = new SeededRandom(options.seed);
    this.scheduler = new BatchScheduler(options.slots, options.stepMs, {
      start: job =>
        addOne(this.counters.runsByFingerprint, job.plan.fingerprint),
      generate: (job, index) => this.sendToken(job, index),
      finish: job => this.finish(job),
    });
    this.load = new LoadHistory(options.slots, options.loadLagMs);
    this.cache = new PrefixCache(options, this.random);
    this.state = {
      models: options.models ?? [],
      role: EngineRole.Mixed,
      fencingNumber: 0,
    };
  }

  /**
   * Starts an engine.
   *
   * @example
   * const engine = await ModelEngine.start({slots: 4, stepMs: 5});
   */
  static async start(input: EngineOptionsInput = {}): Promise<ModelEngine> {
    const engine = new ModelEngine(engineOptionsSchema.parse(input));
    const {host, port} = engine.options;
    const app = engine.buildApp();
    engine.server = await StandinServer.start({host, port, app});
    return engine;
  }

  /** Base URL without a trailing slash. */
  get url(): string {
    return this.server.url;
  }

  get port(): number {
    return this.server.port;
  }

  /** Destroys all connections and refuses new ones. */
  async stop(): Promise<void> {
    this.scheduler.drain();
    await this.server.stop();
  }

  /** Returns a copy of the counters. */
  getCounters(): EngineCounters {
    return structuredClone(this.counters);
  }

  private buildApp(): Hono<StandinEnv> {
    const app = new Hono<StandinEnv>();
    app.post('/v1/chat/completions', context => this.acceptChat(context));
    app.delete('/v1/requests/:id', context => {
      const jobs = this.scheduler.listByRequest(context.req.param('id'));
      for (const job of jobs) this.cancel(job);
      return context.json({cancelled: jobs.length}, jobs.length ? 200 : 404);
    });
    app.post('/v1/requests/:id/priority', async context => {
      const body = enginePrioritySchema.safeParse(await readJson(context));
      if (!body.success) return context.json({error: body.error.message}, 400);
      const jobs = this.scheduler.listByRequest(context.req.param('id'));
      for (const job of jobs) job.priority = body.data.priority;
      return context.json({changed: jobs.length}, jobs.length ? 200 : 404);
    });
    app.get('/load', context => context.json(this.load.report()));
    app.get('/cache-events', context => {
      const after = Number(context.req.query('after') ?? 0);
      return context.json(this.cache.listEventsAfter(after));
    });
    app.get('/state', context => context.json(this.state));
    app.get('/control', context => context.json(this.counters));
    return app;
  }

  private async acceptChat(context: Context<StandinEnv>): Promise<Response> {
    const body = engineRequestSchema.safeParse(await readJson(context));
    if (!body.success) return context.json({error: body.error.message}, 400);
    const request = body.data;
    this.arrivals += 1;
    const requestId =
      context.req.header('x-request-id') ?? `engine-${this.arrivals}`;
    addOne(this.counters.requestsSeen, requestId);
    if (!this.hasModel(request.model)) {
      const error = `model "${request.model}" is not loaded`;
      return context.json({error}, 404);
    }
    const plan = planAnswer(request, this.options);
    if (request.resume_from > plan.tokenCount) {
      const error = `the answer has ${plan.tokenCount} tokens`;
      return context.json({error}, 400);
    }
    const job: EngineJob = {
      requestId,
      model: request.model,
      plan,
      priority: request.priority,
      arrival: this.arrivals,
      prefillLeftMs: this.computePrefillMs(request, plan),
      firstIndex: request.resume_from,
      nextIndex: request.resume_from,
      tokenCount: plan.tokenCount,
      started: false,
      stream: new EngineStream(context.env.outgoing as never, requestId, () =>
        this.cancel(job),
      ),
    };
    this.scheduler.add(job);
    this.load.record(this.scheduler.size);
    return RESPONSE_ALREADY_SENT;
  }

  private hasModel(model: string): boolean {
    if (this.options.models === undefined) return true;
    return this.state.models.some(loaded => loaded.model === model);
  }

  /** A resumed request is charged for the text that it resumes, too. */
  private computePrefillMs(request: EngineRequest, plan: AnswerPlan): number {
    const {prefillMs, prefillCharacterMs} = this.options;
    const prefixDigest = computePrefixDigest(request.messages);
    const isCached = this.cache.touch(prefixDigest);
    let characters = 0;
    for (const [index, message] of request.messages.entries()) {
      const inPrefix = index === 0 || message.role === 'system';
      if (!(isCached && inPrefix)) characters += message.content.length;
    }
    for (let index = 0; index < request.resume_from; index += 1) {
      characters += buildToken(plan.fingerprint, index).length;
    }
    return prefillMs + prefillCharacterMs * characters;
  }

  private sendToken(job: EngineJob, index: number): void {
    this.counters.tokensGenerated += 1;
    const isLast = index === job.tokenCount - 1;
    this.sendChunk(job, index, buildToken(job.plan.fingerprint, index), isLast);
  }

  private sendChunk(
    job: EngineJob,
    index: number,
    content: string,
    isLast: boolean,
  ): void {
    job.stream.send({
      id: job.requestId,
      object: 'chat.completion.chunk',
      created: Math.floor(Date.now() / 1000),
      model: job.model,
      token_index: index,
      choices: [
        {
          index: 0,
          delta: index === 0 ? {role: 'assistant', content} : {content},
          finish_reason: isLast ? job.plan.finishReason : null,
        },
      ],
    });
  }

  private finish(job: EngineJob): void {
    // A client that already holds every token still needs the finish reason.
    if (job.firstIndex === job.tokenCount) {
      this.sendChunk(job, job.tokenCount, '', true);
    }
    job.stream.end(true);
    this.load.record(this.scheduler.size);
  }

  private cancel(job: EngineJob): void {
    if (!this.scheduler.remove(job)) return;
    this.counters.tokensWasted += job.nextIndex - job.firstIndex;
    job.stream.end(false);
    this.load.record(this.scheduler.size);
  }
}

/** Reads a JSON body; undefined when it is malformed. */
async function readJson(context: Context): Promise<unknown> {
  return context.req.json().catch(() => undefined);
}
