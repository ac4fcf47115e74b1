/** Applies JSON Patch (RFC 6902) operations to configuration documents. */
import jsonPatch from 'fast-json-patch';
import {err, ok, type Result} from 'neverthrow';
import {PatchError} from '../protocol/errors.js';
import type {PatchOperation} from '../protocol/platformApi.js';

/**
 * Applies patch operations to a copy of a document.
 *
 * @example
 * applyOperations({a: 1}, [{op: 'replace', path: '/a', value: 2}])
 */
export function applyOperations(
  document: unknown,
  operations: readonly PatchOperation[],
): Result<unknown, PatchError> {
  try {
    const copy: unknown = structuredClone(document);
    const applied: unknown = jsonPatch.applyPatch(
      copy,
      operations as readonly jsonPatch.Operation[],
      true,
    ).newDocument;
    return ok(applied);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err(new PatchError(`the patch does not apply: ${reason}`, {cause}));
  }
}
