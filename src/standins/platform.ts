/** Stand-in for the platform: configuration service, VM list, weight store. */
import {Hono, type Context} from 'hono';
import type {Result} from 'neverthrow';
import type {PatchError, StalePatchError} from '../protocol/errors.js';
import {
  vmListSchema,
  type ConfigChange,
  type ConfigHead,
  type VmList,
} from '../protocol/platformApi.js';
import {ConfigService} from './configService.js';
import {waitFor} from './delay.js';
import {answerOutage, refuseRead} from './outageAnswers.js';
import {
  buildPlatformFaults,
  platformControlSchema,
  type PlatformFaults,
} from './platformFaults.js';
import {
  platformOptionsSchema,
  type PlatformOptions,
  type PlatformOptionsInput,
} from './platformOptions.js';
import {ReadRateLimiter} from './readRateLimiter.js';
import {readJson, StandinServer, type StandinEnv} from './standinServer.js';
import {VmListHistory} from './vmListHistory.js';

/** Answer to `GET /control`. */
export interface PlatformCounters {
  /** Permitted calls of the configuration service's read API. */
  configReads: number;
  configReadsRefused: number;
  configReadsPeakPerSecond: number;
  waitingWatches: number;
  vmListReads: number;
  weightReads: number;
  weightReadsRefused: number;
}

/** Serves the read APIs that the system uses and the operators' write API. */
export class Platform {
  private server!: StandinServer;
  private readonly faults: PlatformFaults = buildPlatformFaults();
  private readonly config: ConfigService;
  private readonly weightReadLimiter: ReadRateLimiter;
  private readonly vms: VmListHistory;
  private vmListReads = 0;

  private constructor(readonly options: PlatformOptions) {
    this.config = new ConfigService(options, this.faults);
    this.weightReadLimiter = new ReadRateLimiter(options.weightReadsPerSecond);
    this.vms = new VmListHistory(options.vms);
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
    await this.server.stop();
  }

  /** Returns number and digest of the latest configuration. */
  getHead(): ConfigHead {
    return this.config.history.getHead();
  }

  /**
   * Applies a patch to the configuration, as the write API does.
   *
   * @example
   * platform.writePatch(1, [{op: 'replace', path: '/region', value: 'golfo'}])
   */
  writePatch(
    baseNumber: number,
    operations: ConfigChange['operations'],
  ): Result<ConfigChange, StalePatchError | PatchError> {
    return this.config.writePatch(baseNumber, operations);
  }

  /** Replaces the VM list. */
  setVms(vms: VmList): void {
    this.vms.add(vms);
  }

  /**
   * Sets the given faults and leaves the others unchanged.
   *
   * @throws RangeError if the document of `staleNumber` is no longer kept
   *
   * @example
   * platform.setFaults({configOutage: Outage.Silent});
   */
  setFaults(changes: Partial<PlatformFaults>): void {
    const {staleNumber} = changes;
    const isKept =
      typeof staleNumber !== 'number' ||
      this.config.history.findDocument(staleNumber) !== undefined;
    if (!isKept) {
      throw new RangeError(`document ${staleNumber} is not kept`);
    }
    Object.assign(this.faults, changes);
    this.config.wakeWatches();
  }

  /** Returns the current counters. */
  getCounters(): PlatformCounters {
    return {
      configReads: this.config.budget.allowedCalls,
      configReadsRefused: this.config.budget.refused,
      configReadsPeakPerSecond: this.config.budget.peakPerSecond,
      waitingWatches: this.config.waitingWatches,
      vmListReads: this.vmListReads,
      weightReads: this.weightReadLimiter.allowedCalls,
      weightReadsRefused: this.weightReadLimiter.refused,
    };
  }

  private buildApp(): Hono<StandinEnv> {
    const app = new Hono<StandinEnv>();
    app.get('/control', context => context.json(this.getCounters()));
    app.post('/control', context => this.acceptControl(context));
    this.config.addRoutes(app);
    app.get('/v1/vms', context => {
      this.vmListReads += 1;
      const {vmListOutage, vmListLagMs, missingVms} = this.faults;
      const refusal = answerOutage(context, vmListOutage);
      return refusal ?? context.json(this.vms.get(vmListLagMs, missingVms));
    });
    app.put('/write/vms', async context => {
      const body = vmListSchema.safeParse(await readJson(context));
      if (!body.success) return context.json({error: body.error.message}, 400);
      this.setVms(body.data);
      return context.json({}, 200);
    });
    app.get('/v1/weights/:model', async context => {
      if (!this.weightReadLimiter.acquire()) {
        return refuseRead(context, this.weightReadLimiter);
      }
      const {weightStoreOutage} = this.faults;
      const refusal = answerOutage(context, weightStoreOutage);
      if (refusal !== undefined) return refusal;
      await waitFor(this.options.weightReadMs);
      return context.json({model: context.req.param('model')});
    });
    return app;
  }

  private async acceptControl(context: Context<StandinEnv>): Promise<Response> {
    const body = platformControlSchema.safeParse(await readJson(context));
    if (!body.success) return context.json({error: body.error.message}, 400);
    const {reset, ...changes} = body.data;
    try {
      this.setFaults({...(reset ? buildPlatformFaults() : {}), ...changes});
    } catch (error) {
      return context.json({error: String(error)}, 400);
    }
    return context.json(this.faults);
  }
}
