/** Wire types between gateways for non-repeatable operations. */
import {z} from 'zod';
import {Outcome} from './outcome.js';
import {RefusalReason} from './refusal.js';

/** A call to a plain service, as received from the caller. */
export const serviceCallSchema = z.object({
  service: z.string(),
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path and query relative to the service, with a leading slash. */
  path: z.string(),
  contentType: z.string().optional(),
  /** Body, Base64. */
  body: z.string(),
});
export type ServiceCall = z.infer<typeof serviceCallSchema>;

/** A complete answer of a plain service. */
export const serviceAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string().optional(),
  /** Body, Base64. */
  body: z.string(),
});
export type ServiceAnswer = z.infer<typeof serviceAnswerSchema>;

/** Runs an operation on the gateway that issued its operation prefix. */
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

/** Operation record in a handover; none has a dispatch in progress. */
export const handoverRecordSchema = z.object({
  operationKey: z.string(),
  customer: z.string(),
  bodyDigest: z.string(),
  /** Absent: the key was accepted, but the operation provably did not run. */
  result: operationResultSchema.optional(),
  expiresAtMs: z.number(),
});
export type HandedRecord = z.infer<typeof handoverRecordSchema>;

/** Hands the records and the authority of an issuer to its only successor. */
export const takeOverSchema = z.object({
  issuer: z.string(),
  successor: z.string(),
  /** Batches are numbered from 0; the authority moves with the last one. */
  batch: z.number().int().nonnegative(),
  last: z.boolean(),
  records: z.array(handoverRecordSchema),
});
export type TakeOver = z.infer<typeof takeOverSchema>;
