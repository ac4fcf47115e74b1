/** Wire types between the system and model engines. */
import crypto from 'node:crypto';
import {z} from 'zod';
import {
  chatChunkSchema,
  type ChatMessage,
  type ChatRequest,
} from './callerApi.js';

/** Chat request to an engine, with the fields that the router adds. */
export interface EngineChatRequest extends ChatRequest {
  /** Lower numbers are served first; an engine pauses the highest ones. */
  priority: number;
  /** Tokens that the caller already has; generation continues after them. */
  resume_from: number;
}

/** Streamed event of an engine; `token_index` counts from 0. */
export const engineChunkSchema = chatChunkSchema.extend({
  token_index: z.number().int().nonnegative(),
});
export type EngineChunk = z.infer<typeof engineChunkSchema>;

/** Body of `POST /v1/requests/:id/priority`. */
export const enginePrioritySchema = z.object({priority: z.number().int()});

/** Answer to `GET /load`; may be out of date, see `takenAtMs`. */
export const loadReportSchema = z.object({
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
  slots: z.number().int().positive(),
  /** Unix time in milliseconds at which the report was taken. */
  takenAtMs: z.number(),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
}

/** Answer to `GET /cache-events?after=N`; missing numbers are lost events. */
export const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      number: z.number().int().positive(),
      kind: z.enum(CacheEventKind),
      prefixDigest: z.string(),
    }),
  ),
});
export type CacheEvents = z.infer<typeof cacheEventsSchema>;

export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode',
}

export const loadedModelSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
});
export type LoadedModel = z.infer<typeof loadedModelSchema>;

/** Answer to `GET /state`: loaded models, role and last fencing number. */
export const engineStateSchema = z.object({
  models: z.array(loadedModelSchema),
  role: z.enum(EngineRole),
  fencingNumber: z.number().int().nonnegative(),
});
export type EngineState = z.infer<typeof engineStateSchema>;

/**
 * Body of `POST /orders`: the complete desired state. The engine answers 409 if
 * the fencing number is old.
 */
export const engineOrderSchema = engineStateSchema;
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/**
 * Returns a digest of the prompt prefix that an engine caches: the leading
 * system messages, or the first message if there is no system message.
 *
 * @example
 * computePrefixDigest([{role: 'system', content: 'You answer briefly.'}])
 */
export function computePrefixDigest(messages: readonly ChatMessage[]): string {
  const hash = crypto.createHash('sha256');
  const firstOther = messages.findIndex(message => message.role !== 'system');
  const prefixLength = firstOther <= 0 ? 1 : firstOther;
  for (const message of messages.slice(0, prefixLength)) {
    hash.update(`${message.role}\0${message.content}\0`);
  }
  return hash.digest('hex').slice(0, 16);
}
