/** Faults of the platform stand-in. */
import {z} from 'zod';
import {computeConfigDigest} from '../protocol/configDigest.js';
import type {ConfigDocument} from '../protocol/platformApi.js';
import {millisecondsSchema, shareSchema} from './options.js';

/** What readers see of a part of the platform that is down. */
export enum Outage {
  None = 'none',
  /** Status 503. */
  Status503 = 'status503',
  /** The connection is closed. */
  Dropped = 'dropped',
  /** No answer, on an open connection. */
  Silent = 'silent',
}

/** What is wrong with the answer to `/v1/config/document`. */
export enum BadDocument {
  None = 'none',
  /** The body is cut in the middle. */
  Malformed = 'malformed',
  /** The digest is that of another document. */
  WrongDigest = 'wrongDigest',
  /** The document has the right digest, but breaks every schema. */
  Invalid = 'invalid',
}

export const platformFaultsSchema = z.strictObject({
  configOutage: z.enum(Outage),
  vmListOutage: z.enum(Outage),
  weightStoreOutage: z.enum(Outage),
  /** Serves this number as if it were the newest. */
  staleNumber: z.number().int().nonnegative().nullable(),
  /** Share of the reads that are stale while `staleNumber` is set. */
  staleShare: shareSchema,
  /** Age of the VM list in milliseconds. */
  vmListLagMs: millisecondsSchema,
  /** Names of entry VMs and backend servers left out of the VM list. */
  missingVms: z.array(z.string()),
  badDocument: z.enum(BadDocument),
});
export type PlatformFaults = z.output<typeof platformFaultsSchema>;

/** `POST /control`; members that are left out stay as they are. */
export const platformControlSchema = platformFaultsSchema.partial().extend({
  /** Ends all other faults first. */
  reset: z.boolean().optional(),
});

/** Returns faults that do nothing. */
export function buildPlatformFaults(): PlatformFaults {
  return {
    configOutage: Outage.None,
    vmListOutage: Outage.None,
    weightStoreOutage: Outage.None,
    staleNumber: null,
    staleShare: 1,
    vmListLagMs: 0,
    missingVms: [],
    badDocument: BadDocument.None,
  };
}

/** Builds the body of an answer to `/v1/config/document`. */
export function buildDocumentBody(
  {head, document}: ConfigDocument,
  fault: BadDocument,
): string {
  const text = JSON.stringify({head, document});
  switch (fault) {
    case BadDocument.None:
      return text;
    case BadDocument.Malformed:
      return text.slice(0, text.length / 2);
    case BadDocument.WrongDigest: {
      const digest = computeConfigDigest({not: document});
      return JSON.stringify({head: {...head, digest}, document});
    }
    case BadDocument.Invalid: {
      const invalid = ['not a configuration'];
      const digest = computeConfigDigest(invalid);
      return JSON.stringify({head: {...head, digest}, document: invalid});
    }
  }
}
