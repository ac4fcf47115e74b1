/** Wire types between the system and the platform's read side. */
import {z} from 'zod';

/** `GET /v1/config/head` and `GET /v1/config/watch?after=N&waitMs=M`. */
export const configHeadSchema = z.object({
  number: z.number().int().nonnegative(),
  /** SHA-256 of the RFC 8785 form of the document, hexadecimal. */
  digest: z.string(),
});
export type ConfigHead = z.infer<typeof configHeadSchema>;

/** One operation of an RFC 6902 patch. */
export const patchOperationSchema = z.looseObject({
  op: z.enum(['add', 'remove', 'replace', 'move', 'copy', 'test']),
  path: z.string(),
});

export type PatchOperation = z.infer<typeof patchOperationSchema>;

/** The change from `number - 1` to `number`. */
export const configChangeSchema = z.object({
  number: z.number().int().positive(),
  baseDigest: z.string(),
  digest: z.string(),
  operations: z.array(patchOperationSchema),
});
export type ConfigChange = z.infer<typeof configChangeSchema>;

/** `GET /v1/config/changes?after=N`: empty when N is too old to serve. */
export const configChangesSchema = z.object({
  head: configHeadSchema,
  changes: z.array(configChangeSchema),
});
export type ConfigChanges = z.infer<typeof configChangesSchema>;

/** `GET /v1/config/document`. */
export const configDocumentSchema = z.object({
  head: configHeadSchema,
  document: z.unknown(),
});
export interface ConfigDocument {
  head: ConfigHead;
  /** Unchecked; a tRPC answer leaves an undefined document out. */
  document?: unknown;
}

export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** `GET /v1/vms`: entry VMs and backend server VMs; lags behind the truth. */
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
