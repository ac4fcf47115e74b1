/** Wire types of the platform's read API. */
import {z} from 'zod';

/**
 * Answer to `GET /v1/config/head` and to
 * `GET /v1/config/watch?after=N&waitMs=M`.
 */
export const configHeadSchema = z.object({
  number: z.number().int().nonnegative(),
  /** SHA-256 of the document in RFC 8785 canonical form, as hexadecimal. */
  digest: z.string(),
});
export type ConfigHead = z.infer<typeof configHeadSchema>;

/** One operation of an RFC 6902 patch. */
export const patchOperationSchema = z.looseObject({
  op: z.enum(['add', 'remove', 'replace', 'move', 'copy', 'test']),
  path: z.string(),
});

export type PatchOperation = z.infer<typeof patchOperationSchema>;

/** Change from configuration `number - 1` to `number`. */
export const configChangeSchema = z.object({
  number: z.number().int().positive(),
  baseDigest: z.string(),
  digest: z.string(),
  operations: z.array(patchOperationSchema),
});
export type ConfigChange = z.infer<typeof configChangeSchema>;

/** Answer to `GET /v1/config/changes?after=N`; empty if N is too old. */
export const configChangesSchema = z.object({
  head: configHeadSchema,
  changes: z.array(configChangeSchema),
});
export type ConfigChanges = z.infer<typeof configChangesSchema>;

/** Answer to `GET /v1/config/document`. */
export const configDocumentSchema = z.object({
  head: configHeadSchema,
  document: z.unknown(),
});
export interface ConfigDocument {
  head: ConfigHead;
  /** Not yet validated; tRPC omits the field when it is undefined. */
  document?: unknown;
}

export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Answer to `GET /v1/vms`: entry and backend server VMs; may be outdated. */
export const vmListSchema = z.object({
  entryVms: z.array(
    z.object({
      vm: z.string(),
      address: z.string(),
      zone: z.string(),
      state: z.enum(VmState),
    }),
  ),
  backendServerVms: z.array(
    z.object({backendServer: z.string(), state: z.enum(VmState)}),
  ),
});
export type VmList = z.infer<typeof vmListSchema>;
