/** Option schemas that the stand-ins share. */
import {z} from 'zod';

export const millisecondsSchema = z.number().nonnegative();
export const shareSchema = z.number().min(0).max(1);

export const listenOptions = {
  host: z.string().default('127.0.0.1'),
  /** 0 lets the operating system choose a free port. */
  port: z.number().int().min(0).max(65_535).default(0),
  /** Seed of the random choices. */
  seed: z.number().int().default(1),
};
