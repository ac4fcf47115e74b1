/** Faults that can be injected into the platform stand-in. */
import {z} from 'zod';
import {computeConfigDigest} from '../protocol/configDigest.js';
import type {ConfigDocument} from '../protocol/platformApi.js';
import {millisecondsSchema, shareSchema} from './options.js';

/** How a platform service that is down responds to reads. */
export enum Outage {
  None = 'none',
  /** Status 503. */
  Status503 = 'status503',
  /** The connection is closed without an answer. */
  Dropped = 'dropped',
  /** The connection stays open, but no answer is sent. */
  Silent = 'silent',
}

/** What is wrong with the answer to `/v1/config/document`. */
export enum BadDocument {
  None = 'none',
  /** The body is cut in the middle. */
  Malformed = 'malformed',
  /** The digest does not match the document. */
  WrongDigest = 'wrongDigest',
  /** The digest matches, but the document violates the schema. */
  Invalid = 'invalid',
}

export const platformFaultsSchema = z.strictObject({
  configOutage: z.enum(Outage),
  vmListOutage: z.enum(Outage),
  weightStoreOutage: z.enum(Outage),
  /** Serves the document with this number as if it were the latest. */
  staleNumber: z.number().int().nonnegative().nullable(),
  /** Share of reads that are stale while `staleNumber` is set. */
  staleShare: shareSchema,
  /** Age of the VM list in milliseconds. */
  vmListLagMs: millisecondsSchema,
  /** Names of entry VMs and backend servers omitted from the VM list. */
  missingVms: z.array(z.string()),
  badDocument: z.enum(BadDocument),
});
export type PlatformFaults = z.output<typeof platformFaultsSchema>;

/** Body of `POST /control`; omitted fields are unchanged. */
export const platformControlSchema = platformFaultsSchema.partial().extend({
  /** Clears all faults first. */
  reset: z.boolean().optional(),
});

/** Returns the state without faults. */
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

/** Builds the response body of `/v1/config/document`. */
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
