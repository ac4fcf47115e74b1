/**
 * Reports of a relay: sums over the routers that report to it. In a large
 * fleet, one router in each zone is the relay of the others there.
 */
import {z} from 'zod';
import {
  listTotalsFields,
  readTotalsFields,
  totalsSchema,
  type TopicTotals,
} from '../fleetTotals/totalsReport.js';
import {
  joinServerRows,
  listEvidenceFields,
  listLimitFields,
  listVersions,
  crashEvidenceSchema,
  readEvidenceFields,
  readLimitFields,
  readVersions,
  RouterStatus,
  serverLimitsSchema,
  splitRows,
  splitServerRows,
  versionsSchema,
  type PeerReport,
  type RouterEndpoints,
  type ServerReport,
  type StateVersions,
} from './peerReport.js';
import type {CrashEvidence} from './crashReports.js';
import type {ServerLimitReport} from './serverLimits.js';

/** A router as listed in relay reports and rosters. */
export interface FleetMember extends RouterEndpoints {
  /** IP address. */
  readonly host: string;
  readonly status: RouterStatus;
}

/** Report of one relay. */
export interface RelayReport extends StateVersions {
  /** Random number that the relay chooses at each start. */
  readonly incarnation: number;
  /** `host:port` of the relay for reads by peers. */
  readonly peers: string;
  /** Number of routers that the relay knows, including itself. */
  readonly routers: number;
  /** True if all servers are listed, not only those that changed. */
  readonly isFull: boolean;
  readonly servers: readonly ServerReport[];
  /** Compact keys of members, with the number of the report in the sums. */
  readonly sequences: ReadonlyArray<
    readonly [member: number, sequence: number]
  >;
  /**
   * Prompt parts and the engines recently selected for them, by compact key.
   */
  readonly placements: ReadonlyArray<readonly [part: number, server: number]>;
  /** Compact keys; see `SharedNotices`. */
  readonly notices: readonly number[];
  readonly crashEvidence: CrashEvidence;
  readonly limits: readonly ServerLimitReport[];
  /** Sums over the relay and its members. */
  readonly totals: readonly TopicTotals[];
  /** New and changed members; all members in a full report. */
  readonly members: readonly FleetMember[];
}

const memberSchema = z.tuple([
  z.ipv4(),
  z.enum(RouterStatus),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
]);
/** Schema of a list of routers. */
export const rosterSchema = z.array(memberSchema);

export const relayReportSchema = z.tuple([
  z.number(),
  z.string(),
  z.number(),
  z.boolean(),
  versionsSchema,
  z.array(z.number()),
  z.array(z.number()),
  z.array(z.number()),
  z.array(z.number()),
  crashEvidenceSchema,
  serverLimitsSchema,
  totalsSchema,
  rosterSchema,
]);

/** Lists the fields of each router in the order of the schema. */
export function listMemberFields(
  members: readonly FleetMember[],
): z.infer<typeof rosterSchema> {
  return members.map(member => [
    member.host,
    member.status,
    member.vm,
    member.zone,
    member.callers,
    member.peers,
    member.linkMbps,
    member.processorShare,
  ]);
}

/** The reverse of `listMemberFields`. */
export function readMemberFields(
  rows: z.infer<typeof rosterSchema>,
): FleetMember[] {
  return rows.map(row => ({
    host: row[0],
    status: row[1],
    vm: row[2],
    zone: row[3],
    callers: row[4],
    peers: row[5],
    linkMbps: row[6],
    processorShare: row[7],
  }));
}

/** Lists the fields of a report in the order of the schema. */
export function listRelayFields(
  report: RelayReport,
): z.infer<typeof relayReportSchema> {
  return [
    report.incarnation,
    report.peers,
    report.routers,
    report.isFull,
    listVersions(report),
    joinServerRows(report.servers),
    report.sequences.flat(),
    report.placements.flat(),
    [...report.notices],
    listEvidenceFields(report.crashEvidence),
    listLimitFields(report.limits),
    listTotalsFields(report.totals),
    listMemberFields(report.members),
  ];
}

/** The reverse of `listRelayFields`. */
export function readRelayFields(
  fields: z.infer<typeof relayReportSchema>,
): RelayReport {
  return {
    incarnation: fields[0],
    peers: fields[1],
    routers: fields[2],
    isFull: fields[3],
    ...readVersions(fields[4]),
    servers: splitServerRows(fields[5]),
    sequences: splitRows(fields[6], 2).map(row => [row[0], row[1]]),
    placements: splitRows(fields[7], 2).map(row => [row[0], row[1]]),
    notices: fields[8],
    crashEvidence: readEvidenceFields(fields[9]),
    limits: readLimitFields(fields[10]),
    totals: readTotalsFields(fields[11]),
    members: readMemberFields(fields[12]),
  };
}

/** True for a report whose content should be passed on without delay. */
export function hasUpdates({
  servers,
  placements,
  notices,
}: PeerReport | RelayReport): boolean {
  const lists = [servers, placements, notices];
  return lists.some(list => list.length > 0);
}
