/** Wire types of slot leases between gateways and dispatchers. */
import {z} from 'zod';

/** State of a backend server as its dispatcher reports it to gateways. */
export const backendServerViewSchema = z.object({
  backendServer: z.string(),
  freeSlots: z.number().int(),
  queueLength: z.number().int().nonnegative(),
  ejected: z.boolean(),
  /** Whether the prefix of the request is cached there; absent if unknown. */
  cachedPrefix: z.boolean().optional(),
});
export type BackendServerView = z.infer<typeof backendServerViewSchema>;

/** Asks the owner of a backend server for one of its slots. */
export const acquireSchema = z.object({
  /** Chosen by the gateway, so it can release before it learns of a grant. */
  leaseId: z.string(),
  requestId: z.string(),
  gateway: z.string(),
  backendServer: z.string(),
  className: z.string(),
  customer: z.string(),
  /** True: grant or refuse at once instead of queueing. */
  immediate: z.boolean(),
  /** Milliseconds until the caller's deadline. */
  deadlineMs: z.number().positive(),
  /** Milliseconds until the latest start that can still meet the target. */
  latestStartMs: z.number(),
  fingerprint: z.string().optional(),
  prefixDigest: z.string().optional(),
  /** True: ignore an ejection, because the gateway sees too many of them. */
  ignoreEjection: z.boolean().optional(),
  /** Number of crashes known to the gateway with this request in flight. */
  suspectCount: z.number().int().nonnegative(),
  /** Number of the configuration that the gateway has in force. */
  configNumber: z.number().int(),
});
export type Acquire = z.infer<typeof acquireSchema>;

export enum LeaseEventKind {
  Queued = 'queued',
  Granted = 'granted',
  Refused = 'refused',
}

/** Reason for which a dispatcher refuses a lease. */
export enum LeaseRefusal {
  /** There is no free slot and `immediate` is set. */
  Busy = 'busy',
  /** This dispatcher is not, or no longer, the owner of the backend server. */
  Moved = 'moved',
  /** The backend server is leaving or unknown. */
  Leaving = 'leaving',
  Ejected = 'ejected',
  /** Another suspect request is in flight on the backend server. */
  SuspectInFlight = 'suspectInFlight',
  QueueFull = 'queueFull',
  TargetUnreachable = 'targetUnreachable',
  DeadlineExceeded = 'deadlineExceeded',
  RequestCrashesServers = 'requestCrashesServers',
}

export const leaseEventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(LeaseEventKind.Queued),
    position: z.number().int(),
    expectedWaitMs: z.number(),
    view: backendServerViewSchema,
  }),
  z.object({
    kind: z.literal(LeaseEventKind.Granted),
    /** `ip:port` of the backend server. */
    address: z.string(),
    priority: z.number().int(),
    view: backendServerViewSchema,
  }),
  z.object({
    kind: z.literal(LeaseEventKind.Refused),
    refusal: z.enum(LeaseRefusal),
    retryAfterMs: z.number().optional(),
    view: backendServerViewSchema.optional(),
  }),
]);
export type LeaseEvent = z.infer<typeof leaseEventSchema>;

/** How the use of a lease ended. */
export enum LeaseEnd {
  Completed = 'completed',
  /** Cancelled by the gateway or the caller. */
  Cancelled = 'cancelled',
  /** Granted but not used, e.g. because another owner granted one earlier. */
  Unused = 'unused',
  ConnectFailed = 'connectFailed',
  /** The connection broke before the answer was complete. */
  Broken = 'broken',
  /** The connection received no data for longer than its idle limit. */
  Silent = 'silent',
}

export const releaseSchema = z.object({
  leaseId: z.string(),
  backendServer: z.string(),
  end: z.enum(LeaseEnd),
  tokens: z.number().int().nonnegative(),
  firstTokenMs: z.number().optional(),
  betweenTokensMs: z.number().optional(),
  /** Latency relative to the median of the model's servers; 1 means equal. */
  slowness: z.number().optional(),
  /** Time from grant to end in milliseconds. */
  heldMs: z.number(),
});
export type Release = z.infer<typeof releaseSchema>;

/** Renews leases in use and reports their progress. */
export const renewSchema = z.object({
  gateway: z.string(),
  leases: z.array(
    z.object({
      leaseId: z.string(),
      backendServer: z.string(),
      requestId: z.string(),
      className: z.string(),
      customer: z.string(),
      fingerprint: z.string().optional(),
      tokens: z.number().int().nonnegative(),
      suspectCount: z.number().int().nonnegative(),
    }),
  ),
});
export type Renew = z.infer<typeof renewSchema>;

export interface RenewAnswer {
  /** Leases of backend servers with a new owner, to be renewed there. */
  moved: string[];
  /** New engine priorities. */
  priorities: Array<{leaseId: string; priority: number}>;
}

/** Requests a part of a customer's rate limit for one gateway. */
export const drawLimitSchema = z.object({
  customer: z.string(),
  gateway: z.string(),
  requests: z.number().nonnegative(),
  tokens: z.number().nonnegative(),
});
export type DrawLimit = z.infer<typeof drawLimitSchema>;
export interface DrawLimitAnswer {
  requests: number;
  tokens: number;
  /** Delay before the next request if less than requested was granted. */
  retryAfterMs: number;
  /** True: another dispatcher allocates this customer's budget. */
  moved?: boolean;
}
