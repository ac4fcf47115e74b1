/** Schema of a router's settings file. */
import {z} from 'zod';
import {readFieldAs} from '../config/textFields.js';

const endpointSchema = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/);
const ratioSchema = z.number().nonnegative();
const secondsSchema = z.number().positive();
/** Names, or a table whose keys are the names. */
const namesSchema = z
  .record(z.string(), z.unknown())
  .transform(table => Object.keys(table))
  .or(z.array(z.string()));

/** Bounds that are stated together or not at all. */
const coldServersSchema = z
  .object({
    /** Allowed ratio of requests to what such a server bears. */
    overrun: readFieldAs(ratioSchema.optional()),
    /** Requests allowed beyond that in any second. */
    slack: readFieldAs(ratioSchema.optional()),
  })
  .transform(({overrun, slack}, context) => {
    if (overrun === undefined && slack === undefined) return undefined;
    if (overrun !== undefined && slack !== undefined) return {overrun, slack};
    context.addIssue('"overrun" and "slack" are stated together');
    return z.NEVER;
  });

export const routerSettingsSchema = z.object({
  /** Name of the VM in logs. */
  vm: z.string().min(1),
  zone: z.string().min(1),
  /** Availability zones of the deployment; empty if they aren't stated. */
  zones: readFieldAs(namesSchema.default([])),
  /** IP address of the VM. */
  address: z.ipv4(),
  /** Bandwidth of the VM's link in Mbit/s. */
  linkMbps: z.number().positive(),
  /** Ratio of time for which the VM has its processor. */
  processorShare: readFieldAs(z.number().positive().default(1)),
  /** Speed of the processor relative to the reference machine. */
  processorSpeed: readFieldAs(z.number().positive().default(1)),
  /** Memory that the process may take, in MB. */
  memoryMb: readFieldAs(z.number().positive().default(256)),
  listen: z.object({
    /** Endpoint for requests of callers. */
    callers: endpointSchema,
    /** Endpoint for the platform's readiness checks. */
    ready: endpointSchema,
    /** Endpoint at which callers ask for addresses of routers. */
    addresses: endpointSchema,
    /** Endpoint for reads by other routers. */
    peers: endpointSchema,
    /** UDP port for reports between routers, the same on every VM. */
    exchangePort: z.number().int().min(1).max(65_535),
    /** Port for metrics and the state dump; 0 turns them off. */
    metricsPort: z.number().int().min(0).max(65_535),
  }),
  /** `listen.peers` of some other VMs; may be stale. */
  seeds: z.array(endpointSchema),
  /** Endpoint of the store that publishes deployments. */
  store: endpointSchema,
  shutdown: z.object({
    /** Time from SIGTERM to SIGKILL in seconds. */
    graceSeconds: secondsSchema,
  }),
  retries: z.object({
    /** Ratio of retries to requests, across the fleet. */
    ratio: ratioSchema,
    /** Retries beyond the ratio in one window, across the fleet. */
    slack: ratioSchema,
    windowSeconds: secondsSchema,
  }),
  /** True when the whole fleet starts for the first time, without traffic. */
  isFirstStart: readFieldAs(z.boolean().default(false)),
  /**
   * Time within which all routers stop sending requests to a leaving backend
   * server, in milliseconds.
   */
  leaveBoundMs: readFieldAs(z.number().positive().default(2_000)),
  /**
   * Time within which a router must be up to date again after it was cut off,
   * in milliseconds.
   */
  contactBoundMs: readFieldAs(z.number().positive().default(3_000)),
  /**
   * Time within which all routers stop sending requests to an evacuated zone, in
   * milliseconds; undefined where zones aren't evacuated.
   */
  evacuationBoundMs: readFieldAs(z.number().positive().optional()),
  /** Longest time for which callers keep an address answer, in seconds. */
  maxAddressTtlSeconds: readFieldAs(secondsSchema.default(5)),
  /**
   * Bounds on the requests to servers that have just started; absent where they
   * aren't limited.
   */
  coldServers: coldServersSchema.optional(),
  /** True if requests to servers grow with their answers after a failure. */
  slowStart: z.boolean().default(false),
  /** True if lasting differences in speed between servers are learned. */
  learnsServerSpeeds: z.boolean().default(false),
  /** True if customers share servers fairly while these are scarce. */
  sharesCustomers: z.boolean().default(false),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
});
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
