/** Stand-in for a model engine, with the HTTP API of `engineApi.ts`. */
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context} from 'hono';
import type {z} from 'zod';
import {
  engineOrderSchema,
  enginePrioritySchema,
  type EngineState,
} from '../protocol/engineApi.js';
import {planAnswer} from './answerText.js';
import {
  incrementCount,
  buildEngineCounters,
  type EngineCounters,
} from './engineCounters.js';
import {
  buildEngineFaults,
  engineControlSchema,
  type EngineFaults,
} from './engineFaults.js';
import {
  EngineGenerator,
  engineRequestSchema,
  type EngineContext,
} from './engineGenerator.js';
import {
  engineOptionsSchema,
  type EngineOptions,
  type EngineOptionsInput,
} from './engineOptions.js';
import {OrderExecutor, OrderResult} from './orderExecutor.js';
import {SeededRandom} from './seededRandom.js';
import {readJson, StandinServer, type StandinEnv} from './standinServer.js';

/** Simulated model engine; its tokens are hashes, see `answerText.ts`. */
export class ModelEngine {
  private server!: StandinServer;
  private readonly context: EngineContext;
  private generator: EngineGenerator;
  private orders: OrderExecutor;
  private isDown = false;

  private constructor(readonly options: EngineOptions) {
    this.context = {
      options,
      counters: buildEngineCounters(),
      faults: buildEngineFaults(),
      random: new SeededRandom(options.seed),
      kill: () => this.kill(),
    };
    this.generator = new EngineGenerator(this.context);
    this.orders = new OrderExecutor(options, options.models ?? []);
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

  /** Whether connections are accepted; false from a crash to the restart. */
  get isListening(): boolean {
    return !this.isDown;
  }

  get port(): number {
    return this.server.port;
  }

  /** Destroys all connections and refuses new ones. */
  async stop(): Promise<void> {
    this.generator.stop();
    this.orders.stop();
    await this.server.stop();
  }

  /**
   * Simulates a crash: destroys all connections, loses all state and refuses
   * connections for `restartMs`, then restarts without loaded models.
   */
  kill(restartMs = this.options.restartMs): void {
    if (this.isDown) return;
    this.isDown = true;
    const {counters} = this.context;
    counters.crashes += 1;
    counters.tokensInCrashes += this.generator.stop();
    this.orders.stop();
    this.generator = new EngineGenerator(this.context);
    this.orders = new OrderExecutor(this.options, []);
    void this.server.refuseFor(restartMs, () => (this.isDown = false));
  }

  /** Returns a copy of the counters. */
  getCounters(): EngineCounters {
    const inFlight = this.generator.requestsInFlight;
    return structuredClone({...this.context.counters, inFlight});
  }

  /**
   * Sets the given faults and leaves the others unchanged.
   *
   * @example
   * engine.setFaults({slowFactor: 10});
   */
  setFaults(changes: Partial<EngineFaults>): void {
    Object.assign(this.context.faults, changes);
    this.generator.applyFaults();
    if (changes.silence !== undefined) this.server.setSilence(changes.silence);
  }

  private buildApp(): Hono<StandinEnv> {
    const app = new Hono<StandinEnv>();
    app.post('/v1/chat/completions', context => this.acceptChat(context));
    app.delete('/v1/requests/:id', context => {
      const cancelled = this.generator.cancelRequest(context.req.param('id'));
      return context.json({cancelled}, cancelled > 0 ? 200 : 404);
    });
    app.post('/v1/requests/:id/priority', async context => {
      const body = enginePrioritySchema.safeParse(await readJson(context));
      if (!body.success) return refuseBody(context, body.error);
      const changed = this.generator.setPriority(
        context.req.param('id'),
        body.data.priority,
      );
      return context.json({changed}, changed > 0 ? 200 : 404);
    });
    app.get('/load', context => context.json(this.generator.reportLoad()));
    app.get('/cache-events', context => {
      const after = Number(context.req.query('after') ?? 0);
      return context.json(this.generator.listCacheEventsAfter(after));
    });
    app.get('/state', context => context.json(this.getState()));
    app.post('/orders', context => this.acceptOrder(context));
    app.get('/control', context => {
      this.server.allowControl(context.env.incoming.socket);
      const counters = this.getCounters();
      if (context.req.query('brief') !== 'true') return context.json(counters);
      return context.json({
        ...counters,
        requestsSeen: undefined,
        runsByFingerprint: undefined,
      });
    });
    app.post('/control', context => this.acceptControl(context));
    return app;
  }

  /** Returns the loaded models, the role and the last fencing number. */
  getState(): EngineState {
    return this.orders.getState();
  }

  private async acceptChat(context: Context<StandinEnv>): Promise<Response> {
    const body = engineRequestSchema.safeParse(await readJson(context));
    if (!body.success) return refuseBody(context, body.error);
    const request = body.data;
    const requestId = context.req.header('x-request-id');
    if (!requestId)
      return context.json({error: 'x-request-id is missing'}, 400);
    incrementCount(this.context.counters.requestsSeen, requestId);
    if (!this.hasModel(request.model)) {
      const error = `model "${request.model}" is not loaded`;
      return context.json({error}, 404);
    }
    const plan = planAnswer(request, this.options);
    if (request.resume_from > plan.tokenCount) {
      const error = `the answer has ${plan.tokenCount} tokens`;
      return context.json({error}, 400);
    }
    const response = context.env.outgoing;
    // The client may have disconnected, or the engine crashed, while the body
    // was read.
    if (response.destroyed) return RESPONSE_ALREADY_SENT;
    this.generator.accept({request, requestId, plan, response});
    return RESPONSE_ALREADY_SENT;
  }

  private hasModel(model: string): boolean {
    if (this.options.models === undefined) return true;
    return this.getState().models.some(loaded => loaded.model === model);
  }

  private async acceptOrder(context: Context<StandinEnv>): Promise<Response> {
    const {counters} = this.context;
    if (!this.isPermitted(context.req.header('authorization'))) {
      counters.ordersRefused += 1;
      return context.json({error: 'wrong order key'}, 401);
    }
    const body = engineOrderSchema.safeParse(await readJson(context));
    if (!body.success) return refuseBody(context, body.error);
    switch (this.orders.accept(body.data)) {
      case OrderResult.RefusedOld: {
        counters.ordersRefused += 1;
        const {fencingNumber} = this.getState();
        return context.json({error: 'old fencing number', fencingNumber}, 409);
      }
      case OrderResult.AcceptedOld:
        counters.oldOrdersAccepted += 1;
        break;
      case OrderResult.Accepted:
        counters.ordersAccepted += 1;
        break;
    }
    return context.json(this.getState(), 202);
  }

  private isPermitted(authorization: string | undefined): boolean {
    const {verifiesSender, orderKey} = this.options;
    return !verifiesSender || authorization === `Bearer ${orderKey}`;
  }

  private async acceptControl(context: Context<StandinEnv>): Promise<Response> {
    const {incoming, outgoing} = context.env;
    this.server.allowControl(incoming.socket);
    const body = engineControlSchema.safeParse(await readJson(context));
    if (!body.success) return refuseBody(context, body.error);
    const {reset, crash, restartMs, ...changes} = body.data;
    this.setFaults({...(reset ? buildEngineFaults() : {}), ...changes});
    if (crash) outgoing.once('finish', () => this.kill(restartMs));
    return context.json(this.context.faults);
  }
}

function refuseBody(context: Context, error: z.ZodError): Response {
  return context.json({error: error.message}, 400);
}
