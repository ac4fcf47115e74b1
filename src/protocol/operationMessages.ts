/** Wire types of non-repeatable operations between gateways. */
import {z} from 'zod';
import {Outcome} from './outcome.js';
import {RefusalReason} from './refusal.js';

/** A call to a plain service, as a gateway received it. */
export const serviceCallSchema = z.object({
  service: z.string(),
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path and query below the service, with a leading slash. */
  path: z.string(),
  contentType: z.string().optional(),
  /** Body, Base64. */
  body: z.string(),
});
export type ServiceCall = z.infer<typeof serviceCallSchema>;

/** A whole answer of a plain service. */
export const serviceAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string().optional(),
  /** Body, Base64. */
  body: z.string(),
});
export type ServiceAnswer = z.infer<typeof serviceAnswerSchema>;

/** Runs an operation at the gateway that issued its prefix. */
export const executeOperationSchema = z.object({
  requestId: z.string(),
  issuer: z.string(),
  customer: z.string(),
  className: z.string(),
  operationKey: z.string(),
  deadlineMs: z.number().positive(),
  call: serviceCallSchema,
});
export type ExecuteOperation = z.infer<typeof executeOperationSchema>;

export enum OperationResultKind {
  Answered = 'answered',
  Refused = 'refused',
}

export const operationResultSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(OperationResultKind.Answered),
    answer: serviceAnswerSchema,
  }),
  z.object({
    kind: z.literal(OperationResultKind.Refused),
    reason: z.enum(RefusalReason),
    outcome: z.enum(Outcome),
    message: z.string(),
    retryAfterMs: z.number().optional(),
  }),
]);
export type OperationResult = z.infer<typeof operationResultSchema>;

/** A record as it is handed over: never one with a dispatch in progress. */
export const handedRecordSchema = z.object({
  operationKey: z.string(),
  customer: z.string(),
  bodyDigest: z.string(),
  /** Absent: the key was accepted and proven not run. */
  result: operationResultSchema.optional(),
  expiresAtMs: z.number(),
});
export type HandedRecord = z.infer<typeof handedRecordSchema>;

/** Hands the records and the authority of an issuer to its one successor. */
export const takeOverSchema = z.object({
  issuer: z.string(),
  successor: z.string(),
  /** Batches are numbered from 0; the authority moves with the last one. */
  batch: z.number().int().nonnegative(),
  last: z.boolean(),
  records: z.array(handedRecordSchema),
});
export type TakeOver = z.infer<typeof takeOverSchema>;
