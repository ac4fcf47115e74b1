/** Stand-in of the platform: configuration service, VM list, weight store. */
import {Hono, type Context} from 'hono';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {StalePatchError, type PatchError} from '../protocol/errors.js';
import {
  patchOperationSchema,
  vmListSchema,
  type ConfigChange,
  type ConfigHead,
  type VmList,
} from '../protocol/platformApi.js';
import {ConfigHistory} from './configHistory.js';
import {
  platformOptionsSchema,
  type PlatformOptions,
  type PlatformOptionsInput,
} from './platformOptions.js';
import {ReadBudget} from './readBudget.js';
import {StandinServer, type StandinEnv} from './standinServer.js';

/** Longest wait of a watch in milliseconds. */
const maxWatchWaitMs = 60_000;

const patchBodySchema = z.object({
  baseNumber: z.number().int().nonnegative(),
  operations: z.array(patchOperationSchema).min(1),
});

const watchQuerySchema = z.object({
  after: z.coerce.number().int().nonnegative(),
  waitMs: z.coerce.number().nonnegative().max(maxWatchWaitMs).default(0),
});

/** Answer to `GET /control`. */
export interface PlatformCounters {
  /** Calls of the configuration service's read side. */
  configReads: number;
  configReadsRefused: number;
  configReadsPeakPerSecond: number;
  waitingWatches: number;
  vmListReads: number;
  weightReads: number;
  weightReadsRefused: number;
}

/** The read side that the system uses, and the platform's own write side. */
export class Platform {
  private server!: StandinServer;
  private readonly history: ConfigHistory;
  private readonly configBudget: ReadBudget;
  private readonly weightBudget: ReadBudget;
  private readonly watchers = new Set<() => void>();
  private vms: VmList;
  private vmListReads = 0;

  private constructor(readonly options: PlatformOptions) {
    const {document, firstNumber, keptChanges} = options;
    this.history = new ConfigHistory(document, firstNumber, keptChanges);
    this.configBudget = new ReadBudget(options.readsPerSecond);
    this.weightBudget = new ReadBudget(options.weightReadsPerSecond);
    this.vms = options.vms;
  }

  /**
   * Starts a platform.
   *
   * @example
   * const platform = await Platform.start({document: configuration});
   */
  static async start(input: PlatformOptionsInput = {}): Promise<Platform> {
    const platform = new Platform(platformOptionsSchema.parse(input));
    const {host, port} = platform.options;
    const app = platform.buildApp();
    platform.server = await StandinServer.start({host, port, app});
    return platform;
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
    this.wakeWatchers();
    await this.server.stop();
  }

  /** Number and digest in force. */
  getHead(): ConfigHead {
    return this.history.getHead();
  }

  /**
   * Writes a patch as the operators do.
   *
   * @example
   * platform.writePatch(1, [{op: 'replace', path: '/region', value: 'golfo'}])
   */
  writePatch(
    baseNumber: number,
    operations: ConfigChange['operations'],
  ): Result<ConfigChange, StalePatchError | PatchError> {
    const result = this.history.applyPatch(baseNumber, operations);
    if (result.isOk()) this.wakeWatchers();
    return result;
  }

  /** Replaces the VM list. */
  setVms(vms: VmList): void {
    this.vms = vms;
  }

  /** Returns what was counted. */
  getCounters(): PlatformCounters {
    return {
      configReads: this.configBudget.allowed,
      configReadsRefused: this.configBudget.refused,
      configReadsPeakPerSecond: this.configBudget.peakPerSecond,
      waitingWatches: this.watchers.size,
      vmListReads: this.vmListReads,
      weightReads: this.weightBudget.allowed,
      weightReadsRefused: this.weightBudget.refused,
    };
  }

  private buildApp(): Hono<StandinEnv> {
    const app = new Hono<StandinEnv>();
    app.get('/control', context => context.json(this.getCounters()));
    this.addConfigRoutes(app);
    this.addWriteRoutes(app);
    app.get('/v1/vms', context => {
      this.vmListReads += 1;
      return context.json(this.vms);
    });
    app.get('/v1/weights/:model', async context => {
      if (!this.weightBudget.acquire()) {
        return refuseRead(context, this.weightBudget);
      }
      await new Promise(resolve =>
        setTimeout(resolve, this.options.weightReadMs),
      );
      return context.json({model: context.req.param('model')});
    });
    return app;
  }

  private addConfigRoutes(app: Hono<StandinEnv>): void {
    app.use('/v1/config/*', async (context, next) => {
      if (!this.configBudget.acquire()) {
        return refuseRead(context, this.configBudget);
      }
      return next();
    });
    app.get('/v1/config/head', context => context.json(this.history.getHead()));
    app.get('/v1/config/document', context =>
      context.json(this.history.getDocument()),
    );
    app.get('/v1/config/changes', context => {
      const query = watchQuerySchema.safeParse(context.req.query());
      if (!query.success)
        return context.json({error: query.error.message}, 400);
      const head = this.history.getHead();
      return context.json(
        this.history.listChangesAfter(query.data.after, head),
      );
    });
    app.get('/v1/config/watch', async context => {
      const query = watchQuerySchema.safeParse(context.req.query());
      if (!query.success)
        return context.json({error: query.error.message}, 400);
      const {after, waitMs} = query.data;
      await this.waitForNumberAbove(after, waitMs, context.req.raw.signal);
      return context.json(this.history.getHead());
    });
  }

  private addWriteRoutes(app: Hono<StandinEnv>): void {
    app.post('/write/patch', async context => {
      const json: unknown = await context.req.json().catch(() => undefined);
      const body = patchBodySchema.safeParse(json);
      if (!body.success) return context.json({error: body.error.message}, 400);
      const {baseNumber, operations} = body.data;
      return this.writePatch(baseNumber, operations).match(
        change => context.json(change, 200),
        error => {
          const {number} = this.getHead();
          const status = error instanceof StalePatchError ? 409 : 422;
          return context.json({error: error.message, number}, status);
        },
      );
    });
    app.put('/write/vms', async context => {
      const json: unknown = await context.req.json().catch(() => undefined);
      const body = vmListSchema.safeParse(json);
      if (!body.success) return context.json({error: body.error.message}, 400);
      this.setVms(body.data);
      return context.json({}, 200);
    });
  }

  /** Resolves when the head is above a number, or the time has passed. */
  private async waitForNumberAbove(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (this.history.getHead().number > after || signal.aborted) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.watchers.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.watchers.add(finish);
      signal.addEventListener('abort', finish);
    });
  }

  private wakeWatchers(): void {
    for (const finish of [...this.watchers]) finish();
  }
}

function refuseRead(context: Context, budget: ReadBudget): Response {
  const waitMs = budget.getWaitMs();
  context.header('retry-after', String(Math.ceil(waitMs / 1000)));
  return context.json(
    {error: 'read budget is spent', retryAfterMs: waitMs},
    429,
  );
}
