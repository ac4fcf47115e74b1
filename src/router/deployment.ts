/** Types of a deployment: the versioned configuration of a router. */
import type {ColdStart} from '../serverPace/pacedServer.js';

/** Whether requests of a route may be retried, and how answers arrive. */
export enum RouteKind {
  /** A single answer; the request may run more than once. */
  Idempotent = 'idempotent',
  /** A single answer; the request runs at most once. */
  AtMostOnce = 'atMostOnce',
  /** A stream of events; runs at most once unless it can be resumed. */
  Stream = 'stream',
}

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Handling of requests to one host whose paths begin with a prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Time after which a request fails, in milliseconds. */
  readonly timeoutMs: number;
  /** Target for the time to the answer or the first event, in milliseconds. */
  readonly targetMs: number;
  /** Target for the longest pause between events, in milliseconds. */
  readonly maxPauseMs?: number;
  /** Priority of the requests; 0 is the highest. */
  readonly tier: number;
  readonly split: readonly WeightedService[];
  /** Number of backend servers that may run one request. */
  readonly maxServers: number;
  /** True when requests need no key. */
  readonly isPublic: boolean;
  /** True when another backend server can resume a broken stream. */
  readonly isResumable: boolean;
}

/** Limits of a service's model engines. */
export interface EngineLimits {
  readonly slots: number;
  readonly kvCacheTokens: number;
  /** Size of one token in the KV cache. */
  readonly kvBytesPerToken: number;
  /** Bandwidth of the link over which engines copy KV cache, in Mbit/s. */
  readonly kvLinkMbps?: number;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts in total. */
  readonly maxConnections: number;
  /** Present when the backend servers are model engines. */
  readonly engine?: EngineLimits;
  /** Present where servers that have just started bear few requests. */
  readonly coldStart?: ColdStart;
}

/** Size limits and timeouts for callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface Customer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the tier of the route. */
  readonly tier?: number;
}

/** One immutable version of everything that operators configure. */
export interface Deployment {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Absent when requests carry no key. */
  readonly customers?: readonly Customer[];
}

export enum ServerState {
  Ready = 'ready',
  Draining = 'draining',
}

/** A backend server as registered with the platform. */
export interface BackendServer {
  /** Identifies the server; its address may later belong to another one. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Start time of the process, in Unix milliseconds. */
  readonly startedAt?: number;
  /** Remaining time for which a new process is slow, in milliseconds. */
  readonly warmUpMs: number;
}

/**
 * Identifies one process of a backend server. A server may restart under the
 * same id and at the same address, so the start time is a part of it.
 */
export function formatProcess({
  id,
  host,
  port,
  startedAt,
}: BackendServer): string {
  return `${id} ${host}:${port} ${startedAt ?? ''}`;
}
