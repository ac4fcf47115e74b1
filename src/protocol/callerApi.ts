/** Wire types of the HTTP API between callers and gateways. */
import {z} from 'zod';

/** Names of the HTTP headers that callers and gateways exchange. */
export enum CallerHeader {
  RequestId = 'x-request-id',
  Class = 'x-anvilstall-class',
  DeadlineMs = 'x-anvilstall-deadline-ms',
  OperationKey = 'x-anvilstall-operation-key',
  Outcome = 'x-anvilstall-outcome',
}

export const maxBodyBytes = 1024 * 1024;
export const maxBodyDepth = 32;

export const chatMessageSchema = z.object({
  role: z.enum(['system', 'user', 'assistant', 'tool']),
  content: z.string(),
});
export type ChatMessage = z.infer<typeof chatMessageSchema>;

/** OpenAI-style chat request; fields that are not listed are passed on. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(chatMessageSchema).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
});
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** One event of a streamed answer, as sent by engines and to callers. */
export const chatChunkSchema = z.looseObject({
  id: z.string(),
  object: z.literal('chat.completion.chunk'),
  created: z.number(),
  model: z.string(),
  choices: z
    .array(
      z.object({
        index: z.literal(0),
        delta: z.object({
          role: z.literal('assistant').optional(),
          content: z.string().optional(),
        }),
        finish_reason: z.enum(['stop', 'length']).nullable(),
      }),
    )
    .length(1),
});
export type ChatChunk = z.infer<typeof chatChunkSchema>;

/** Answer to a chat request that is not streamed. */
export interface ChatCompletion {
  id: string;
  object: 'chat.completion';
  created: number;
  model: string;
  choices: [
    {
      index: 0;
      message: {role: 'assistant'; content: string};
      finish_reason: 'stop' | 'length';
    },
  ];
  usage: {completion_tokens: number};
}

/** Answer to `GET /v1/addresses`. */
export const addressAnswerSchema = z.object({
  addresses: z.array(z.object({url: z.string(), zone: z.string()})).min(1),
  ttlSeconds: z.number().positive(),
  operationPrefix: z.object({
    prefix: z.string(),
    /** ISO 8601. */
    expiresAt: z.string(),
  }),
});
export type AddressAnswer = z.infer<typeof addressAnswerSchema>;
