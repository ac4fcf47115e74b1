/** Builds and checks the patches that operators submit to the platform. */
import jsonPatch from 'fast-json-patch';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {applyOperations} from '../config/applyOperations.js';
import {configurationSchema} from '../config/configuration.js';
import {validateDocument} from '../config/validateDocument.js';
import {
  PatchError,
  StalePatchError,
  type ValidationError,
} from '../protocol/errors.js';
import {
  patchOperationSchema,
  type PatchOperation,
  type ConfigDocument,
} from '../protocol/platformApi.js';

/** Body of a patch request to the platform's write API. */
export const patchFileSchema = z.strictObject({
  /** Number of the configuration that the patch applies to. */
  baseNumber: z.number().int().nonnegative(),
  operations: z.array(patchOperationSchema).min(1),
});
export type PatchFile = z.infer<typeof patchFileSchema>;

/**
 * Builds the JSON patch from the current document to the desired one.
 *
 * @example
 * const patch = buildPatch({head: {number: 7, digest}, document}, desired);
 */
export function buildPatch(
  current: ConfigDocument,
  desired: object,
): Result<PatchFile, PatchError | ValidationError> {
  return validateDocument(
    'the desired configuration',
    configurationSchema,
    desired,
  )
    .map(() => jsonPatch.compare(current.document as object, desired))
    .andThen(operations =>
      operations.length > 0
        ? ok({
            baseNumber: current.head.number,
            operations: operations as PatchOperation[],
          })
        : err(
            new PatchError('the desired configuration equals the current one'),
          ),
    );
}

/**
 * Checks that a patch is based on the current configuration number, that it
 * applies, and that its result is valid.
 */
export function checkPatch(
  current: ConfigDocument,
  patch: PatchFile,
): Result<void, PatchError | StalePatchError | ValidationError> {
  if (patch.baseNumber !== current.head.number) {
    return err(new StalePatchError(patch.baseNumber, current.head.number));
  }
  return applyOperations(current.document, patch.operations)
    .andThen(result =>
      validateDocument(
        'the patched configuration',
        configurationSchema,
        result,
      ),
    )
    .map(() => undefined);
}
