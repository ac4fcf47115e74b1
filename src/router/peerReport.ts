/** Reports of a router about itself, and their encoding. */
import {z} from 'zod';
import {
  evacuationReportSchema,
  listEvacuationFields,
  readEvacuationFields,
  type EvacuationReport,
} from '../evacuation/evacuationReport.js';
import {
  listTotalsFields,
  readTotalsFields,
  totalsSchema,
  type TopicTotals,
} from '../fleetTotals/totalsReport.js';
import type {CrashEvidence} from './crashReports.js';
import type {ServerLimitReport} from './serverLimits.js';
import {emptyBacklog} from './prefillBacklog.js';
import {pauseWeightDenominator, type ServerLoad} from './serverLoad.js';
import {urgencyRankCount} from './urgencyScale.js';

export enum RouterStatus {
  Starting = 0,
  Ready = 1,
  Leaving = 2,
  /**
   * Ready, but not among the addresses that callers are given. Such a router
   * serves requests that still arrive, and neither sends nor receives the load
   * of backend servers.
   */
  Resting = 3,
}

/** Answer that a greeting asks for. */
export enum WantedAnswer {
  None = 0,
  /** The receiver's own report. */
  Report = 1,
  /** The receiver's own report, and a list of the routers that it knows. */
  Roster = 2,
}

/** True for a router that takes requests. */
export function isServing(status: RouterStatus): boolean {
  return status === RouterStatus.Ready || status === RouterStatus.Resting;
}

/** Factors by which outcomes and slowness are encoded as integers. */
const outcomeScale = 10;
const slownessScale = 100;

const identitySchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.array(z.ipv4()),
  z.enum(WantedAnswer),
]);
export const versionsSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  evacuationReportSchema,
]);
/**
 * Rows of id, age, server and suspects of a crash; then the acquitted suspects;
 * then id, age and suspect of each probe; then the age of the sender's memory.
 */
export const crashEvidenceSchema = z.tuple([
  z.array(z.array(z.number())),
  z.array(z.number()),
  z.array(z.number()),
  z.number().nonnegative(),
]);
/** Rows of key, epoch, limit and age. */
export const serverLimitsSchema = z.array(
  z.tuple([z.number(), z.number(), z.number().nullable(), z.number()]),
);
export const peerReportSchema = z.tuple([
  z.number(),
  z.number(),
  z.boolean(),
  z.enum(RouterStatus),
  versionsSchema,
  z.array(z.number()),
  z.array(z.number()),
  z.array(z.number()),
  crashEvidenceSchema,
  serverLimitsSchema,
  totalsSchema,
  identitySchema.nullable(),
]);

/** Load and outcomes that one router sees at one backend server. */
export interface ServerReport extends ServerLoad {
  /** Compact key of the server's id. */
  readonly key: number;
}

/** Identity and addresses of a router. */
export interface RouterEndpoints {
  readonly vm: string;
  readonly zone: string;
  /** `host:port` for callers. */
  readonly callers: string;
  /** `host:port` for reads by peers. */
  readonly peers: string;
  /** Bandwidth of the VM's link in Mbit/s. */
  readonly linkMbps: number;
  /** Processor time per second, in cores of the reference machine. */
  readonly processorShare: number;
}

/** Sender of a full report. */
export interface PeerIdentity extends RouterEndpoints {
  /** IP addresses of some live routers, for discovery. */
  readonly contacts: readonly string[];
  readonly wantedAnswer: WantedAnswer;
}

/** Versions and age of the published state that a router has. */
export interface StateVersions {
  readonly deploymentVersion: number;
  /** See `PublishedPosition`. */
  readonly serversEpoch: number;
  readonly serversRevision: number;
  readonly serversDigest: number;
  /** Age of the view of backend servers, in milliseconds; -1 without one. */
  readonly serversAgeMs: number;
  /** Undefined from a router that doesn't know them. */
  readonly evacuations?: EvacuationReport;
}

/** Report of one router. */
export interface PeerReport extends StateVersions {
  /** Random number chosen at each start of the process. */
  readonly incarnation: number;
  /** Increases with each regular report; greetings repeat the last number. */
  readonly sequence: number;
  /**
   * Makes the receiver, as the sender's relay, include the load in its sums.
   */
  readonly isForRelay: boolean;
  readonly status: RouterStatus;
  /** All servers with load in a full report, else only those that changed. */
  readonly servers: readonly ServerReport[];
  /**
   * Prompt parts and the engines recently selected for them, by compact key.
   */
  readonly placements: ReadonlyArray<readonly [part: number, server: number]>;
  /** Compact keys; see `SharedNotices`. */
  readonly notices: readonly number[];
  readonly crashEvidence: CrashEvidence;
  readonly limits: readonly ServerLimitReport[];
  /** Rows of this router for the sums of the fleet. */
  readonly totals: readonly TopicTotals[];
  /** Present only in full reports. */
  readonly identity?: PeerIdentity;
}

/** Lists the fields of a report in the order of the schema. */
export function listReportFields(
  report: PeerReport,
): z.infer<typeof peerReportSchema> {
  const {identity} = report;
  return [
    report.incarnation,
    report.sequence,
    report.isForRelay,
    report.status,
    listVersions(report),
    joinServerRows(report.servers),
    report.placements.flat(),
    [...report.notices],
    listEvidenceFields(report.crashEvidence),
    listLimitFields(report.limits),
    listTotalsFields(report.totals),
    identity
      ? [
          identity.vm,
          identity.zone,
          identity.callers,
          identity.peers,
          identity.linkMbps,
          identity.processorShare,
          [...identity.contacts],
          identity.wantedAnswer,
        ]
      : null,
  ];
}

/** The reverse of `listReportFields`. */
export function readReportFields(
  fields: z.infer<typeof peerReportSchema>,
): PeerReport {
  const identity = fields[11];
  return {
    incarnation: fields[0],
    sequence: fields[1],
    isForRelay: fields[2],
    status: fields[3],
    ...readVersions(fields[4]),
    servers: splitServerRows(fields[5]),
    placements: splitRows(fields[6], 2).map(row => [row[0], row[1]]),
    notices: fields[7],
    crashEvidence: readEvidenceFields(fields[8]),
    limits: readLimitFields(fields[9]),
    totals: readTotalsFields(fields[10]),
    identity: identity
      ? {
          vm: identity[0],
          zone: identity[1],
          callers: identity[2],
          peers: identity[3],
          linkMbps: identity[4],
          processorShare: identity[5],
          contacts: identity[6],
          wantedAnswer: identity[7],
        }
      : undefined,
  };
}

/** Lists evidence in the order of the schema. */
export function listEvidenceFields({
  crashes,
  acquitted,
  probes,
  memoryAgeMs,
}: CrashEvidence): z.infer<typeof crashEvidenceSchema> {
  const rows = crashes.map(({id, ageMs, server, suspects}) => [
    id,
    ageMs,
    server,
    ...suspects,
  ]);
  const probeRows = probes.map(({id, ageMs, suspect}) => [id, ageMs, suspect]);
  return [rows, [...acquitted], probeRows.flat(), memoryAgeMs];
}

/** The reverse of `listEvidenceFields`; drops rows without suspects. */
export function readEvidenceFields([
  rows,
  acquitted,
  probeRows,
  memoryAgeMs,
]: z.infer<typeof crashEvidenceSchema>): CrashEvidence {
  const crashes = rows
    .filter(row => row.length > crashRowWidth)
    .map(([id, ageMs, server, ...suspects]) => ({id, ageMs, server, suspects}));
  const probes = splitRows(probeRows, probeRowWidth).map(
    ([id, ageMs, suspect]) => ({id, ageMs, suspect}),
  );
  return {crashes, acquitted, probes, memoryAgeMs};
}

/** Lists limits in the order of the schema. */
export function listLimitFields(
  limits: readonly ServerLimitReport[],
): z.infer<typeof serverLimitsSchema> {
  return limits.map(({key, epoch, perSecond, ageMs}) => [
    key,
    epoch,
    perSecond ?? null,
    ageMs,
  ]);
}

/** The reverse of `listLimitFields`. */
export function readLimitFields(
  rows: z.infer<typeof serverLimitsSchema>,
): ServerLimitReport[] {
  return rows.map(([key, epoch, perSecond, ageMs]) => ({
    key,
    epoch,
    perSecond: perSecond ?? undefined,
    ageMs,
  }));
}

/** Lists versions in the order of the schema. */
export function listVersions(
  versions: StateVersions,
): z.infer<typeof versionsSchema> {
  return [
    versions.deploymentVersion,
    versions.serversEpoch,
    versions.serversRevision,
    versions.serversDigest,
    versions.serversAgeMs,
    listEvacuationFields(versions.evacuations),
  ];
}

/** The reverse of `listVersions`. */
export function readVersions(
  fields: z.infer<typeof versionsSchema>,
): StateVersions {
  return {
    deploymentVersion: fields[0],
    serversEpoch: fields[1],
    serversRevision: fields[2],
    serversDigest: fields[3],
    serversAgeMs: fields[4],
    evacuations: readEvacuationFields(fields[5]),
  };
}

/** Numbers of a crash's row before its suspects. */
const crashRowWidth = 3;
/** Numbers of a probe's row. */
const probeRowWidth = 3;
/** Numbers of a server's row before its backlog. */
const serverRowWidth = 7;

/**
 * Encodes reports about servers as one flat list of numbers. A row ends with
 * the ranks that have a backlog and their work, after the number of such ranks.
 */
export function joinServerRows(servers: readonly ServerReport[]): number[] {
  return servers.flatMap(server => {
    const backlog = [...server.backlog.entries()]
      .map(([rank, work]) => [rank, Math.round(work)])
      .filter(([, work]) => work > 0);
    return [
      server.key,
      server.requests,
      Math.round(server.tightStreams * pauseWeightDenominator),
      Math.round(server.failures * outcomeScale),
      Math.round(server.answers * outcomeScale),
      Math.round(server.slowness * slownessScale),
      backlog.length,
      ...backlog.flat(),
    ];
  });
}

/** The reverse of `joinServerRows`; drops an incomplete last row. */
export function splitServerRows(values: readonly number[]): ServerReport[] {
  const reports: ServerReport[] = [];
  let start = 0;
  while (start + serverRowWidth <= values.length) {
    const row = values.slice(start, start + serverRowWidth);
    const backlogStart = start + serverRowWidth;
    const end = backlogStart + 2 * Math.max(0, row[6]);
    if (!(end <= values.length)) break;
    const backlog = new Array<number>(urgencyRankCount).fill(0);
    for (const [rank, work] of splitRows(values.slice(backlogStart, end), 2)) {
      if (rank in backlog) backlog[rank] = work;
    }
    reports.push({
      key: row[0],
      requests: row[1],
      tightStreams: row[2] / pauseWeightDenominator,
      failures: row[3] / outcomeScale,
      answers: row[4] / outcomeScale,
      slowness: row[5] / slownessScale,
      backlog: row[6] > 0 ? backlog : emptyBacklog,
    });
    start = end;
  }
  return reports;
}

/** Splits a flat list into rows; drops an incomplete last row. */
export function splitRows(
  values: readonly number[],
  width: number,
): number[][] {
  const rows: number[][] = [];
  for (let i = 0; i + width <= values.length; i += width) {
    rows.push(values.slice(i, i + width));
  }
  return rows;
}
