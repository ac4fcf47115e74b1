/** Configuration service of the platform stand-in. */
import type {Hono} from 'hono';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {StalePatchError, type PatchError} from '../protocol/errors.js';
import {
  patchOperationSchema,
  type ConfigChange,
  type ConfigDocument,
} from '../protocol/platformApi.js';
import {ConfigHistory} from './configHistory.js';
import {waitFor} from './delay.js';
import {answerOutage, refuseRead} from './outageAnswers.js';
import {
  buildDocumentBody,
  Outage,
  type PlatformFaults,
} from './platformFaults.js';
import type {PlatformOptions} from './platformOptions.js';
import {ReadRateLimiter} from './readRateLimiter.js';
import {SeededRandom} from './seededRandom.js';
import {readJson, type StandinEnv} from './standinServer.js';

/** Longest permitted wait of a watch in milliseconds. */
const maxWatchWaitMs = 60_000;

const patchBodySchema = z.object({
  baseNumber: z.number().int().nonnegative(),
  operations: z.array(patchOperationSchema).min(1),
});

const readQuerySchema = z.object({
  after: z.coerce.number().int().nonnegative(),
  waitMs: z.coerce.number().nonnegative().max(maxWatchWaitMs).default(0),
});

/** Read API and write API of the numbered configuration. */
export class ConfigService {
  readonly history: ConfigHistory;
  readonly budget: ReadRateLimiter;
  private readonly random: SeededRandom;
  private wakeController = new AbortController();
  private waiting = 0;

  constructor(
    options: PlatformOptions,
    private readonly faults: PlatformFaults,
  ) {
    const {document, firstNumber, keptChanges} = options;
    this.history = new ConfigHistory(
      structuredClone(document),
      firstNumber,
      keptChanges,
    );
    this.budget = new ReadRateLimiter(options.readsPerSecond);
    this.random = new SeededRandom(options.seed);
  }

  /** Number of watches that are waiting. */
  get waitingWatches(): number {
    return this.waiting;
  }

  /** Applies a patch, as the write API does. */
  writePatch(
    baseNumber: number,
    operations: ConfigChange['operations'],
  ): Result<ConfigChange, StalePatchError | PatchError> {
    const result = this.history.applyPatch(baseNumber, operations);
    if (result.isOk()) this.wakeWatches();
    return result;
  }

  /** Makes waiting watches check the document and the faults again. */
  wakeWatches(): void {
    this.wakeController.abort();
    this.wakeController = new AbortController();
  }

  /** Adds the routes of both APIs. */
  addRoutes(app: Hono<StandinEnv>): void {
    this.addReadRoutes(app);
    app.post('/write/patch', async context => {
      const body = patchBodySchema.safeParse(await readJson(context));
      if (!body.success) return context.json({error: body.error.message}, 400);
      const {baseNumber, operations} = body.data;
      return this.writePatch(baseNumber, operations).match(
        change => context.json(change, 200),
        error => {
          const {number} = this.history.getHead();
          const status = error instanceof StalePatchError ? 409 : 422;
          return context.json({error: error.message, number}, status);
        },
      );
    });
  }

  private addReadRoutes(app: Hono<StandinEnv>): void {
    app.use('/v1/config/*', async (context, next) => {
      if (!this.budget.acquire()) return refuseRead(context, this.budget);
      const refusal = answerOutage(context, this.faults.configOutage);
      return refusal ?? next();
    });
    app.get('/v1/config/head', context =>
      context.json(this.chooseDocument().head),
    );
    app.get('/v1/config/document', context => {
      const body = buildDocumentBody(
        this.chooseDocument(),
        this.faults.badDocument,
      );
      return context.body(body, 200, {'content-type': 'application/json'});
    });
    app.get('/v1/config/changes', context => {
      const query = readQuerySchema.safeParse(context.req.query());
      if (!query.success) {
        return context.json({error: query.error.message}, 400);
      }
      const {head} = this.chooseDocument();
      return context.json(
        this.history.listChangesAfter(query.data.after, head),
      );
    });
    app.get('/v1/config/watch', async context => {
      const query = readQuerySchema.safeParse(context.req.query());
      if (!query.success) {
        return context.json({error: query.error.message}, 400);
      }
      const {after, waitMs} = query.data;
      const {signal} = context.req.raw;
      const {head} = await this.waitForNumberAbove(after, waitMs, signal);
      // An outage may have begun during the wait.
      const refusal = answerOutage(context, this.faults.configOutage);
      return refusal ?? context.json(head);
    });
  }

  /** Chooses the latest document, or the stale one that a fault sets. */
  private chooseDocument(): Required<ConfigDocument> {
    const {staleNumber, staleShare} = this.faults;
    const newest = this.history.getDocument();
    if (staleNumber === null || this.random.draw() >= staleShare) return newest;
    return this.history.findDocument(staleNumber) ?? newest;
  }

  private async waitForNumberAbove(
    after: number,
    waitMs: number,
    clientSignal: AbortSignal,
  ): Promise<Required<ConfigDocument>> {
    const deadlineMs = performance.now() + waitMs;
    this.waiting += 1;
    for (;;) {
      const visible = this.chooseDocument();
      const leftMs = deadlineMs - performance.now();
      const isDown = this.faults.configOutage !== Outage.None;
      const isOver = leftMs <= 0 || isDown || clientSignal.aborted;
      if (visible.head.number > after || isOver) {
        this.waiting -= 1;
        return visible;
      }
      const signal = AbortSignal.any([
        clientSignal,
        this.wakeController.signal,
      ]);
      await waitFor(leftMs, signal);
    }
  }
}
