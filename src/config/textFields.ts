/** Fields of settings files that templates fill in as text. */
import {z} from 'zod';

/**
 * Reads a field that a template may have filled in as text: an empty text, which
 * a placeholder without a value leaves, counts as absent; any other is read as
 * JSON. Text that isn't JSON is left to the schema, which refuses it.
 *
 * @example
 * readFieldAs(z.number().positive().default(1)).parse('0.459') // 0.459
 */
export function readFieldAs<S extends z.ZodType>(schema: S) {
  return z.preprocess(readText, schema);
}

function readText(value: unknown): unknown {
  if (typeof value !== 'string') return value;
  if (value.trim() === '') return undefined;
  try {
    return JSON.parse(value);
  } catch {
    return value;
  }
}
