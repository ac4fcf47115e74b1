/** Wire types of the membership and broadcast protocol between members. */
import {z} from 'zod';
import {configChangeSchema} from './platformApi.js';

export enum MemberRole {
  Gateway = 'gateway',
  Dispatcher = 'dispatcher',
}

export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Dead = 'dead',
}

/** State of one member as members exchange it. */
export const memberSchema = z.object({
  /** Random id, new at each start of a process. */
  incarnation: z.string(),
  role: z.enum(MemberRole),
  vm: z.string(),
  zone: z.string(),
  /** `ip:port` of the peer interface. */
  peerAddress: z.string(),
  /** Base URL for callers; gateways only. */
  callerUrl: z.string().optional(),
  state: z.enum(MemberState),
  /** Incremented by the member itself to refute a suspicion. */
  sequence: z.number().int().nonnegative(),
  /** Share of the process's capacity in use, 0 to 1. */
  load: z.number().min(0),
  /** True: it can't read from the configuration service; others watch it. */
  configUnreachable: z.boolean().optional(),
});
export type Member = z.infer<typeof memberSchema>;

export enum BroadcastKind {
  Member = 'member',
  ConfigChange = 'configChange',
  SuspectMarks = 'suspectMarks',
  BackendServerHealth = 'backendServerHealth',
  PrefixAuthority = 'prefixAuthority',
}

/** A request that was in flight when a backend server crashed. */
export const suspectMarkSchema = z.object({
  /** Digest of customer, model and messages. */
  fingerprint: z.string(),
  /** Id of the crash: backend server id and crash number of the owner. */
  crashId: z.string(),
  /** Milliseconds until the mark expires. */
  remainingMs: z.number().positive(),
});
export type SuspectMark = z.infer<typeof suspectMarkSchema>;

export const broadcastItemSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal(BroadcastKind.Member), member: memberSchema}),
  z.object({
    kind: z.literal(BroadcastKind.ConfigChange),
    change: configChangeSchema,
  }),
  z.object({
    kind: z.literal(BroadcastKind.SuspectMarks),
    marks: z.array(suspectMarkSchema),
  }),
  z.object({
    kind: z.literal(BroadcastKind.BackendServerHealth),
    backendServer: z.string(),
    ejected: z.boolean(),
    /** Orders the announcements of one backend server. */
    atMs: z.number(),
  }),
  z.object({
    kind: z.literal(BroadcastKind.PrefixAuthority),
    issuer: z.string(),
    successor: z.string(),
  }),
]);
export type BroadcastItem = z.infer<typeof broadcastItemSchema>;

export const pingSchema = z.object({
  from: memberSchema,
  configNumber: z.number().int().nonnegative(),
  configDigest: z.string(),
  items: z.array(broadcastItemSchema),
});
export type Ping = z.infer<typeof pingSchema>;
export type PingAnswer = Ping;
export const pingAnswerSchema = pingSchema;

/** Sends new items at once, outside of a ping. */
export const pushSchema = z.object({
  /** Incarnation of the sender. */
  from: z.string(),
  items: z.array(broadcastItemSchema),
});
export type Push = z.infer<typeof pushSchema>;

/** Asks a member to ping another member on behalf of the sender. */
export const pingForSchema = z.object({peerAddress: z.string()});

export const fetchChangesSchema = z.object({after: z.number().int()});
