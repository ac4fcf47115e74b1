/** Options of the platform stand-in. */
import {z} from 'zod';
import {vmListSchema} from '../protocol/platformApi.js';
import {listenOptions, millisecondsSchema} from './options.js';

export const platformOptionsSchema = z.strictObject({
  ...listenOptions,
  /** Initial configuration document. */
  document: z.unknown().default({}),
  /** Number of the initial document. */
  firstNumber: z.number().int().nonnegative().default(1),
  /** Number of latest changes that `/v1/config/changes` can serve. */
  keptChanges: z.number().int().nonnegative().default(1_000),
  /** Initial VM list. */
  vms: vmListSchema.default({entryVms: [], backendServerVms: []}),
  /** Permitted calls of the configuration service's read API per second. */
  readsPerSecond: z.number().int().nonnegative().default(2_000),
  /** Permitted reads of the weight store per second. */
  weightReadsPerSecond: z.number().int().nonnegative().default(10),
  /** Duration of a weight store read in milliseconds. */
  weightReadMs: millisecondsSchema.default(50),
});
export type PlatformOptions = z.output<typeof platformOptionsSchema>;
export type PlatformOptionsInput = z.input<typeof platformOptionsSchema>;
