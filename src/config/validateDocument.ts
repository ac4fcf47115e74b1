/** Validation of JSON documents against their schemas. */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {ValidationError} from '../protocol/errors.js';

/** Values longer than this are truncated in errors. */
const maxShownValueLength = 80;
/** Fields whose value is never shown. */
const secretPattern = /key|secret|password|token$/i;

/**
 * Validates a parsed JSON document; the error lists all problems.
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
    reason: formatIssue(issue),
    found: describeFound(document, issue.path),
  }));
  return err(new ValidationError(subject, problems));
}

function formatIssue(issue: z.core.$ZodIssue): string {
  if (issue.code !== 'invalid_union') return issue.message;
  const messages = issue.errors.flat().map(formatIssue);
  return messages.length > 0 ? messages.join(' or ') : issue.message;
}

/** Describes the value at a path without revealing secrets. */
function describeFound(
  document: unknown,
  path: readonly PropertyKey[],
): string | undefined {
  let value = document;
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return 'nothing';
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  if (value === undefined) return 'nothing';
  if (Array.isArray(value)) return 'an array';
  if (typeof value === 'object' && value !== null) return 'an object';
  const text = JSON.stringify(value);
  if (path.some(part => secretPattern.test(String(part)))) {
    return `a hidden ${typeof value} of length ${text.length}`;
  }
  return text.length > maxShownValueLength
    ? `${text.slice(0, maxShownValueLength)}...`
    : text;
}
