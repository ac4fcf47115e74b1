/** What a router tells the others of itself. */
import {z} from 'zod';
import {streamParts, type ServerLoad} from './serverLoad.js';

export enum RouterStatus {
  Starting = 0,
  Ready = 1,
  Leaving = 2,
  /**
   * Ready, but callers are given other addresses. Such a router serves what still
   * comes, and neither sends nor gets the load of servers.
   */
  Resting = 3,
}

/** What a greeting asks its receiver for. */
export enum WantedAnswer {
  None = 0,
  /** The receiver's own report. */
  Report = 1,
  /** The same, and a list of the routers that it knows. */
  Roster = 2,
}

/** True for a router that takes requests. */
export function isServing(status: RouterStatus): boolean {
  return status === RouterStatus.Ready || status === RouterStatus.Resting;
}

/** Outcomes and slowness travel as whole numbers. */
const outcomeUnits = 10;
const slownessUnits = 100;

const identitySchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.array(z.ipv4()),
  z.enum(WantedAnswer),
]);
export const versionsSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number(),
]);
export const peerReportSchema = z.tuple([
  z.number(),
  z.number(),
  z.boolean(),
  z.enum(RouterStatus),
  versionsSchema,
  z.array(z.number()),
  z.array(z.number()),
  z.array(z.number()),
  z.array(z.number()),
  identitySchema.nullable(),
]);

/** What one router sees of one backend server. */
export interface ServerReport extends ServerLoad {
  /** Compact key of the server's id. */
  readonly key: number;
}

/** Names of a router, and how to reach it. */
export interface RouterEndpoints {
  readonly vm: string;
  readonly zone: string;
  /** `host:port` for callers. */
  readonly callers: string;
  /** `host:port` for reads by peers. */
  readonly peers: string;
  /** Bandwidth of the VM's link in Mbit/s. */
  readonly linkMbps: number;
}

/** Who sends a report, and how to reach it. */
export interface PeerIdentity extends RouterEndpoints {
  /** IP addresses of some live routers. */
  readonly contacts: readonly string[];
  readonly wantedAnswer: WantedAnswer;
}

/** How new the published state is that a router has. */
export interface StateVersions {
  readonly deploymentVersion: number;
  readonly serversRevision: number;
  readonly serversDigest: number;
  /** Age of the view of backend servers in milliseconds; -1 without one. */
  readonly serversAgeMs: number;
}

/** State of one router as it tells the others. */
export interface PeerReport extends StateVersions {
  /** Random; differs after each start. */
  readonly incarnation: number;
  /** Rises with each report that changes what the receiver knows. */
  readonly sequence: number;
  /** Asks the receiver, the relay, to pass it on in its sums. */
  readonly isForRelay: boolean;
  readonly status: RouterStatus;
  /** All servers in a full report, else those that changed. */
  readonly servers: readonly ServerReport[];
  /** Keys of prompt parts and of engines that read them lately. */
  readonly placements: ReadonlyArray<readonly [part: number, server: number]>;
  /** Fingerprints of requests and how often connections broke under them. */
  readonly suspects: ReadonlyArray<
    readonly [fingerprint: number, breaks: number]
  >;
  /** Compact keys; see `SharedNotices`. */
  readonly notices: readonly number[];
  /** Present in full reports. */
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
    report.suspects.flat(),
    [...report.notices],
    identity
      ? [
          identity.vm,
          identity.zone,
          identity.callers,
          identity.peers,
          identity.linkMbps,
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
  const identity = fields[9];
  return {
    incarnation: fields[0],
    sequence: fields[1],
    isForRelay: fields[2],
    status: fields[3],
    ...readVersions(fields[4]),
    servers: splitServerRows(fields[5]),
    placements: splitRows(fields[6], 2).map(row => [row[0], row[1]]),
    suspects: splitRows(fields[7], 2).map(row => [row[0], row[1]]),
    notices: fields[8],
    identity: identity
      ? {
          vm: identity[0],
          zone: identity[1],
          callers: identity[2],
          peers: identity[3],
          linkMbps: identity[4],
          contacts: identity[5],
          wantedAnswer: identity[6],
        }
      : undefined,
  };
}

/** Lists versions in the order of the schema. */
export function listVersions(
  versions: StateVersions,
): z.infer<typeof versionsSchema> {
  return [
    versions.deploymentVersion,
    versions.serversRevision,
    versions.serversDigest,
    versions.serversAgeMs,
  ];
}

/** The reverse of `listVersions`. */
export function readVersions(
  fields: z.infer<typeof versionsSchema>,
): StateVersions {
  return {
    deploymentVersion: fields[0],
    serversRevision: fields[1],
    serversDigest: fields[2],
    serversAgeMs: fields[3],
  };
}

/** Packs what is said of servers into one flat list. */
export function joinServerRows(servers: readonly ServerReport[]): number[] {
  return servers.flatMap(server => [
    server.key,
    server.requests,
    Math.round(server.promptTokens),
    Math.round(server.tightStreams * streamParts),
    Math.round(server.failures * outcomeUnits),
    Math.round(server.answers * outcomeUnits),
    Math.round(server.slowness * slownessUnits),
  ]);
}

/** The reverse of `joinServerRows`. */
export function splitServerRows(values: readonly number[]): ServerReport[] {
  return splitRows(values, 7).map(row => ({
    key: row[0],
    requests: row[1],
    promptTokens: row[2],
    tightStreams: row[3] / streamParts,
    failures: row[4] / outcomeUnits,
    answers: row[5] / outcomeUnits,
    slowness: row[6] / slownessUnits,
  }));
}

/** Cuts a flat list into rows; an incomplete last row is left out. */
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
