/** Options of the model engine stand-in. */
import {z} from 'zod';
import {loadedModelSchema} from '../protocol/engineApi.js';
import {listenOptions, millisecondsSchema, shareSchema} from './options.js';

const modelOptionSchema = z
  .string()
  .transform(model => ({model, version: '1', adapters: []}))
  .or(loadedModelSchema);

/** What an engine does with an order whose fencing number is old. */
export enum FencingMode {
  /** Refuses the order. */
  Honoured = 'honoured',
  /** Executes the order and adopts its number. */
  Ignored = 'ignored',
}

const engineOptionsShape = z.strictObject({
  ...listenOptions,
  /** Requests that get a token in the same step. */
  slots: z.number().int().positive().default(16),
  /** Time between two tokens of a request in milliseconds. */
  stepMs: millisecondsSchema.positive().default(10),
  /** Fixed cost of a prefill in milliseconds. */
  prefillMs: millisecondsSchema.default(20),
  /** Cost of a prefill for each character that is not cached. */
  prefillCharacterMs: millisecondsSchema.default(0.01),
  /** Mean number of tokens of an answer that is not long. */
  meanTokens: z.number().positive().default(32),
  /** Share of requests with 20 times as many tokens. */
  longJobShare: shareSchema.default(0),
  /** Age of the load reports in milliseconds. */
  loadLagMs: millisecondsSchema.default(1_000),
  prefixCacheEntries: z.number().int().positive().default(64),
  /** Delay of cache events in milliseconds. */
  cacheEventDelayMs: millisecondsSchema.default(500),
  /** Share of cache events that are never reported. */
  cacheEventLossShare: shareSchema.default(0),
  /**
   * Models loaded at the start, each a name or a complete entry. Without this
   * option the engine serves any model, regardless of what is loaded.
   */
  models: z.array(modelOptionSchema).optional(),
  fencing: z.enum(FencingMode).default(FencingMode.Honoured),
  /** Whether orders need `authorization: Bearer <orderKey>`. */
  verifiesSender: z.boolean().default(false),
  orderKey: z.string().optional(),
  /** Time to load a model in milliseconds. */
  loadMs: millisecondsSchema.default(500),
  /** Base URL of the weight store; if unset, a load reads no weights. */
  weightStoreUrl: z.url().optional(),
  /** Time for which connections are refused after a crash in milliseconds. */
  restartMs: millisecondsSchema.default(1_000),
});

export const engineOptionsSchema = engineOptionsShape.refine(
  ({verifiesSender, orderKey}) => !verifiesSender || orderKey !== undefined,
  {path: ['orderKey'], message: 'is required when verifiesSender is set'},
);
export type EngineOptions = z.output<typeof engineOptionsSchema>;
export type EngineOptionsInput = z.input<typeof engineOptionsSchema>;
