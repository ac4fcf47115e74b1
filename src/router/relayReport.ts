/**
 * What a relay sends: sums over the routers that report to it. In a large fleet
 * one router of each zone is the relay of the others there.
 */
import {z} from 'zod';
import {
  joinServerRows,
  listVersions,
  readVersions,
  RouterStatus,
  splitRows,
  splitServerRows,
  versionsSchema,
  type RouterEndpoints,
  type ServerReport,
  type StateVersions,
} from './peerReport.js';

/** A router that reports to a relay. */
export interface Member extends RouterEndpoints {
  /** IP address. */
  readonly host: string;
  readonly status: RouterStatus;
}

/** Sums of one relay. */
export interface RelayReport extends StateVersions {
  /** Of the relay; random, differs after each start. */
  readonly incarnation: number;
  /** `host:port` of the relay for reads by peers. */
  readonly peers: string;
  /** True when all servers are there, not only those that changed. */
  readonly isFull: boolean;
  readonly servers: readonly ServerReport[];
  /** Compact keys of members and the number of the report that counts. */
  readonly sequences: ReadonlyArray<
    readonly [member: number, sequence: number]
  >;
  /** Keys of prompt parts and of engines that read them lately. */
  readonly placements: ReadonlyArray<readonly [part: number, server: number]>;
  /** Compact keys of routers, fingerprints, and how often connections broke. */
  readonly suspects: ReadonlyArray<
    readonly [router: number, fingerprint: number, breaks: number]
  >;
  /** Members that are new or changed; all of them in a full report. */
  readonly members: readonly Member[];
}

export const relayReportSchema = z.tuple([
  z.number(),
  z.string(),
  z.boolean(),
  versionsSchema,
  z.array(z.number()),
  z.array(z.number()),
  z.array(z.number()),
  z.array(z.number()),
  z.array(
    z.tuple([
      z.string(),
      z.enum(RouterStatus),
      z.string(),
      z.string(),
      z.string(),
      z.string(),
      z.number(),
    ]),
  ),
]);

/** Lists the fields of a report in the order of the schema. */
export function listRelayFields(
  report: RelayReport,
): z.infer<typeof relayReportSchema> {
  return [
    report.incarnation,
    report.peers,
    report.isFull,
    listVersions(report),
    joinServerRows(report.servers),
    report.sequences.flat(),
    report.placements.flat(),
    report.suspects.flat(),
    report.members.map(member => [
      member.host,
      member.status,
      member.vm,
      member.zone,
      member.callers,
      member.peers,
      member.linkMbps,
    ]),
  ];
}

/** The reverse of `listRelayFields`. */
export function readRelayFields(
  fields: z.infer<typeof relayReportSchema>,
): RelayReport {
  return {
    incarnation: fields[0],
    peers: fields[1],
    isFull: fields[2],
    ...readVersions(fields[3]),
    servers: splitServerRows(fields[4]),
    sequences: splitRows(fields[5], 2).map(row => [row[0], row[1]]),
    placements: splitRows(fields[6], 2).map(row => [row[0], row[1]]),
    suspects: splitRows(fields[7], 3).map(row => [row[0], row[1], row[2]]),
    members: fields[8].map(member => ({
      host: member[0],
      status: member[1],
      vm: member[2],
      zone: member[3],
      callers: member[4],
      peers: member[5],
      linkMbps: member[6],
    })),
  };
}
