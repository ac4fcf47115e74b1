/** Options of the platform stand-in. */
import {z} from 'zod';
import {vmListSchema} from '../protocol/platformApi.js';
import {listenOptions, millisecondsSchema} from './options.js';

export const platformOptionsSchema = z.strictObject({
  ...listenOptions,
  /** First configuration document. */
  document: z.unknown().default({}),
  /** Number of the first document. */
  firstNumber: z.number().int().nonnegative().default(1),
  /** Changes that `/v1/config/changes` can serve. */
  keptChanges: z.number().int().nonnegative().default(1_000),
  /** First VM list. */
  vms: vmListSchema.default({entryVms: [], backendServerVms: []}),
  /** Calls of the configuration service's read side per second. */
  readsPerSecond: z.number().int().nonnegative().default(2_000),
  /** Reads of the weight store per second. */
  weightReadsPerSecond: z.number().int().nonnegative().default(10),
  /** Time of a read of the weight store in milliseconds. */
  weightReadMs: millisecondsSchema.default(50),
});
export type PlatformOptions = z.output<typeof platformOptionsSchema>;
export type PlatformOptionsInput = z.input<typeof platformOptionsSchema>;
