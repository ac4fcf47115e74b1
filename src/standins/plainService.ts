/** Stand-in for a plain service, such as a catalogue or a parts portal. */
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context} from 'hono';
import {z} from 'zod';
import {CallerHeader} from '../protocol/callerApi.js';
import {waitFor} from './delay.js';
import {incrementCount} from './engineCounters.js';
import {LoadHistory} from './loadHistory.js';
import {listenOptions, millisecondsSchema, shareSchema} from './options.js';
import {SeededRandom} from './seededRandom.js';
import {
  serviceControlSchema,
  ServiceFaultKind,
  ServiceFaults,
  type ServiceFault,
  type ServiceFaultInput,
} from './serviceFaults.js';
import {
  readJson,
  SilenceScope,
  StandinServer,
  type StandinEnv,
} from './standinServer.js';

export const serviceOptionsSchema = z.strictObject({
  ...listenOptions,
  /** Requests that run at the same time. */
  slots: z.number().int().positive().default(16),
  /** Mean service time of a request in milliseconds. */
  serviceMs: millisecondsSchema.default(10),
  /** Service times are uniform within this share above and below the mean. */
  serviceSpread: shareSchema.default(0.5),
  /** Age of the load reports in milliseconds. */
  loadLagMs: millisecondsSchema.default(1_000),
});
export type ServiceOptions = z.output<typeof serviceOptionsSchema>;
export type ServiceOptionsInput = z.input<typeof serviceOptionsSchema>;

/** Answer to `GET /control`. */
export interface ServiceCounters {
  /** Requests received, by `x-request-id`. */
  requestsSeen: Record<string, number>;
  /** Runs by `x-anvilstall-operation-key`. */
  runsByOperationKey: Record<string, number>;
  /** Runs by `x-request-id`. */
  runsByRequest: Record<string, number>;
  runs: number;
  /** Requests that a freeze fault currently holds back. */
  frozen: number;
}

/** Body of an answer. */
export interface ServiceAnswer {
  path: string;
  requestId: string | null;
  operationKey: string | null;
  /** Sequence number of the run. */
  number: number;
  /** Whether an operation with the key in the query has run. */
  operationRan?: boolean;
}

/** Answers any method and path, and counts the requests it runs. */
export class PlainService {
  private server!: StandinServer;
  private readonly random: SeededRandom;
  private readonly load: LoadHistory;
  private readonly slotWaiters: (() => void)[] = [];
  private requestsInProgress = 0;
  private readonly counters: ServiceCounters = {
    requestsSeen: {},
    runsByOperationKey: {},
    runsByRequest: {},
    runs: 0,
    frozen: 0,
  };
  private readonly faults = new ServiceFaults();
  private slowFactor = 1;
  private stopped = false;

  private constructor(readonly options: ServiceOptions) {
    this.random = new SeededRandom(options.seed);
    this.load = new LoadHistory(options.slots, options.loadLagMs);
  }

  /**
   * Starts a service.
   *
   * @example
   * const service = await PlainService.start({serviceMs: 5});
   */
  static async start(input: ServiceOptionsInput = {}): Promise<PlainService> {
    const service = new PlainService(serviceOptionsSchema.parse(input));
    const {host, port} = service.options;
    const app = service.buildApp();
    service.server = await StandinServer.start({host, port, app});
    return service;
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
    this.stopped = true;
    this.setFaults([]);
    await this.server.stop();
  }

  /** Returns a copy of the counters. */
  getCounters(): ServiceCounters {
    return structuredClone(this.counters);
  }

  /**
   * Replaces all faults and resumes frozen requests.
   *
   * @example
   * service.setFaults([{kind: ServiceFaultKind.DropAfterRun, requests: 1}]);
   */
  setFaults(faults: readonly ServiceFaultInput[]): void {
    this.faults.replace(faults);
  }

  /** Sets the factor on the service time. */
  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  /** Stops sending on the connections of a scope. */
  setSilence(scope: SilenceScope): void {
    this.server.setSilence(scope);
  }

  private buildApp(): Hono<StandinEnv> {
    const app = new Hono<StandinEnv>();
    app.get('/control', context => {
      this.server.allowControl(context.env.incoming.socket);
      return context.json(this.counters);
    });
    app.post('/control', context => this.acceptControl(context));
    app.get('/load', context => context.json(this.load.report()));
    app.all('*', context => this.acceptCall(context));
    return app;
  }

  private async acceptCall(context: Context<StandinEnv>): Promise<Response> {
    await context.req.text();
    const requestId = context.req.header(CallerHeader.RequestId);
    if (requestId) incrementCount(this.counters.requestsSeen, requestId);
    const fault = this.faults.take();
    if (fault?.kind === ServiceFaultKind.Freeze) await this.holdWhileFrozen();
    if (this.stopped) return dropConnection(context);
    switch (fault?.kind) {
      case ServiceFaultKind.DropBeforeRun:
        return dropConnection(context);
      case ServiceFaultKind.Status500BeforeRun:
        return context.json({error: 'fault before the run'}, 500);
      default:
        break;
    }
    await this.acquireSlot();
    try {
      const answer = this.run(context);
      await this.sleepServiceTime();
      return await this.answer(context, answer, fault);
    } finally {
      this.releaseSlot();
    }
  }

  private async holdWhileFrozen(): Promise<void> {
    this.counters.frozen += 1;
    await this.faults.waitForReplacement();
    this.counters.frozen -= 1;
  }

  /** Answers a request that has run, as its fault demands. */
  private async answer(
    context: Context<StandinEnv>,
    answer: ServiceAnswer,
    fault: ServiceFault | undefined,
  ): Promise<Response> {
    switch (fault?.kind) {
      case ServiceFaultKind.DropAfterRun:
        return dropConnection(context);
      case ServiceFaultKind.Status500AfterRun:
        return context.json({error: 'fault after the run'}, 500);
      case ServiceFaultKind.DelayAnswer:
        await waitFor(fault.delayMs, context.req.raw.signal);
        break;
      default:
        break;
    }
    if (answer.requestId !== null) {
      context.header(CallerHeader.RequestId, answer.requestId);
    }
    return context.json(answer);
  }

  private async acceptControl(context: Context<StandinEnv>): Promise<Response> {
    this.server.allowControl(context.env.incoming.socket);
    const body = serviceControlSchema.safeParse(await readJson(context));
    if (!body.success) return context.json({error: body.error.message}, 400);
    const {faults, slowFactor, silence} = body.data;
    if (faults !== undefined) this.setFaults(faults);
    if (slowFactor !== undefined) this.setSlowFactor(slowFactor);
    if (silence !== undefined) this.setSilence(silence);
    return context.json({faults: this.faults.list()});
  }

  private run(context: Context<StandinEnv>): ServiceAnswer {
    const requestId = context.req.header(CallerHeader.RequestId) ?? null;
    const operationKey = context.req.header(CallerHeader.OperationKey) ?? null;
    const {runsByRequest, runsByOperationKey} = this.counters;
    this.counters.runs += 1;
    if (requestId) incrementCount(runsByRequest, requestId);
    if (operationKey) incrementCount(runsByOperationKey, operationKey);
    const queriedKey = context.req.query('operationKey');
    return {
      path: context.req.path,
      requestId,
      operationKey,
      number: this.counters.runs,
      ...(queriedKey === undefined
        ? {}
        : {operationRan: runsByOperationKey[queriedKey] > 0}),
    };
  }

  private async sleepServiceTime(): Promise<void> {
    const {serviceMs, serviceSpread} = this.options;
    const deviation = (2 * this.random.draw() - 1) * serviceSpread;
    await waitFor(serviceMs * (1 + deviation) * this.slowFactor);
  }

  private async acquireSlot(): Promise<void> {
    this.requestsInProgress += 1;
    this.load.record(this.requestsInProgress);
    if (this.requestsInProgress <= this.options.slots) return;
    await new Promise<void>(resolve => this.slotWaiters.push(resolve));
  }

  private releaseSlot(): void {
    this.requestsInProgress -= 1;
    this.load.record(this.requestsInProgress);
    this.slotWaiters.shift()?.();
  }
}

function dropConnection(context: Context<StandinEnv>): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}
