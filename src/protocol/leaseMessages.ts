/** Wire types of slot leases between gateways and dispatchers. */
import {z} from 'zod';

/** What a dispatcher tells gateways about one of its backend servers. */
export const backendServerViewSchema = z.object({
  backendServer: z.string(),
  freeSlots: z.number().int(),
  queueLength: z.number().int().nonnegative(),
  ejected: z.boolean(),
  /** Whether the request's prefix is cached there, where that is known. */
  cachedPrefix: z.boolean().optional(),
});
export type BackendServerView = z.infer<typeof backendServerViewSchema>;

/** Asks the owner of a backend server for one of its slots. */
export const acquireSchema = z.object({
  /** Chosen by the gateway, so that it can release before it hears of a grant. */
  leaseId: z.string(),
  requestId: z.string(),
  gateway: z.string(),
  backendServer: z.string(),
  className: z.string(),
  customer: z.string(),
  /** True: answer with a grant or a refusal at once, never queue. */
  immediate: z.boolean(),
  /** Milliseconds until the caller's deadline. */
  deadlineMs: z.number().positive(),
  /** Milliseconds until the last start that can still meet the target. */
  latestStartMs: z.number(),
  fingerprint: z.string().optional(),
  prefixDigest: z.string().optional(),
  /** True: the gateway sees so many ejections that it ignores this one. */
  ignoreEjection: z.boolean().optional(),
  /** Crashes at which the request was in flight, as the gateway knows them. */
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

/** Why a dispatcher gives no lease. */
export enum LeaseRefusal {
  /** No free slot and `immediate` was set. */
  Busy = 'busy',
  /** This dispatcher doesn't own the backend server (any more). */
  Moved = 'moved',
  /** The backend server is leaving or unknown. */
  Leaving = 'leaving',
  Ejected = 'ejected',
  /** Another suspect is in flight there. */
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
  /** Granted but not used, e.g. another owner granted first. */
  Unused = 'unused',
  ConnectFailed = 'connectFailed',
  /** The connection broke before the answer was whole. */
  Broken = 'broken',
  /** The connection produced nothing for too long. */
  Silent = 'silent',
}

export const releaseSchema = z.object({
  leaseId: z.string(),
  backendServer: z.string(),
  end: z.enum(LeaseEnd),
  tokens: z.number().int().nonnegative(),
  firstTokenMs: z.number().optional(),
  betweenTokensMs: z.number().optional(),
  /** Latency against the median of the model's backend servers; 1 is equal. */
  slowness: z.number().optional(),
  /** Time from grant to end in milliseconds. */
  heldMs: z.number(),
});
export type Release = z.infer<typeof releaseSchema>;

/** Reports progress of running leases; also renews them. */
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
  /** Leases that the dispatcher doesn't own; renew them with the new owner. */
  moved: string[];
  /** New engine priorities. */
  priorities: Array<{leaseId: string; priority: number}>;
}

/** Draws a slice of a customer's budget. */
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
  /** When to ask again if less than asked for was given. */
  retryAfterMs: number;
  /** True: another dispatcher allocates this customer's budget. */
  moved?: boolean;
}
