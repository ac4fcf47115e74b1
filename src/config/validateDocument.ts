/** Checks of JSON documents against their schemas, with every fault listed. */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {ValidationError} from '../protocol/errors.js';

/**
 * Checks a parsed JSON document.
 *
 * @example
 * validateDocument('settings', settingsSchema, JSON.parse(text))
 */
export function validateDocument<S extends z.ZodType>(
  subject: string,
  schema: S,
  document: unknown,
): Result<z.output<S>, ValidationError> {
  const parsed = schema.safeParse(document);
  if (parsed.success) return ok(parsed.data);
  const problems = parsed.error.issues.map(issue => ({
    path: issue.path.map(part => `/${String(part)}`).join(''),
    reason: issue.message,
  }));
  return err(new ValidationError(subject, problems));
}
