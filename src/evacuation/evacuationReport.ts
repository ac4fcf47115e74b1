/** Reports between routers about evacuations, and their encoding. */
import {z} from 'zod';
import type {PublishedPosition} from '../protocol/publishedPosition.js';

/** Whether a zone is evacuated, and why. */
export enum ZoneStatus {
  /** The platform publishes the evacuation. */
  Evacuated = 0,
  /**
   * The platform published it before it was restored from an old copy, and
   * doesn't publish it now.
   */
  Retained = 1,
  /** Returned to service. */
  Returned = 2,
  /**
   * The published item can't be read, and this router doesn't know what it was
   * before. It tells routers that know it to keep the evacuation.
   */
  Unreadable = 3,
}

/** What a router knows of one zone. */
export type ZoneReport =
  | {
      readonly status: ZoneStatus.Evacuated | ZoneStatus.Unreadable;
      readonly zone: string;
    }
  | {
      readonly status: ZoneStatus.Retained;
      readonly zone: string;
      /** Time for which the zone stays evacuated, in milliseconds. */
      readonly remainingMs: number;
    }
  | {
      readonly status: ZoneStatus.Returned;
      readonly zone: string;
      /** Time since the return became known, in milliseconds. */
      readonly sinceMs: number;
      /** Epoch of the platform in which the zone was returned. */
      readonly epoch: number;
    };

/** Evacuations that a router knows. */
export interface EvacuationReport {
  readonly position: PublishedPosition;
  readonly zones: readonly ZoneReport[];
}

/**
 * Epoch and revision; then zone, status, milliseconds and epoch of each zone.
 * Null from a router that doesn't know the evacuations.
 */
export const evacuationReportSchema = z
  .tuple([
    z.number(),
    z.number(),
    z.array(z.tuple([z.string(), z.enum(ZoneStatus), z.number(), z.number()])),
  ])
  .nullable();

type ReportFields = z.infer<typeof evacuationReportSchema>;
type ZoneFields = NonNullable<ReportFields>[2][number];

/**
 * Lists the fields of a report in the order of the schema.
 *
 * @example
 * listEvacuationFields({position: {epoch: 1, revision: 7}, zones: []})
 * // [1, 7, []]
 */
export function listEvacuationFields(
  report: EvacuationReport | undefined,
): ReportFields {
  if (!report) return null;
  const {position, zones} = report;
  return [position.epoch, position.revision, zones.map(listZoneFields)];
}

/** The reverse of `listEvacuationFields`. */
export function readEvacuationFields(
  fields: ReportFields,
): EvacuationReport | undefined {
  if (!fields) return undefined;
  const [epoch, revision, rows] = fields;
  return {position: {epoch, revision}, zones: rows.map(readZoneFields)};
}

function listZoneFields(report: ZoneReport): ZoneFields {
  const {zone, status} = report;
  switch (status) {
    case ZoneStatus.Evacuated:
    case ZoneStatus.Unreadable:
      return [zone, status, 0, 0];
    case ZoneStatus.Retained:
      return [zone, status, report.remainingMs, 0];
    case ZoneStatus.Returned:
      return [zone, status, report.sinceMs, report.epoch];
  }
}

function readZoneFields([zone, status, ms, epoch]: ZoneFields): ZoneReport {
  switch (status) {
    case ZoneStatus.Evacuated:
    case ZoneStatus.Unreadable:
      return {zone, status};
    case ZoneStatus.Retained:
      return {zone, status, remainingMs: ms};
    case ZoneStatus.Returned:
      return {zone, status, sinceMs: ms, epoch};
  }
}
