/** Settings file of a router. */
import {z} from 'zod';

const endpointSchema = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/);
const ratioSchema = z.number().nonnegative();
const secondsSchema = z.number().positive();

export const routerSettingsSchema = z.object({
  /** Name of the VM in logs. */
  vm: z.string().min(1),
  zone: z.string().min(1),
  /** IP address of the VM. */
  address: z.ipv4(),
  /** Bandwidth of the VM's link in Mbit/s. */
  linkMbps: z.number().positive(),
  listen: z.object({
    /** Requests of callers. */
    callers: endpointSchema,
    /** Readiness for the platform. */
    ready: endpointSchema,
    /** Callers' question for addresses. */
    addresses: endpointSchema,
    /** Other routers' reads. */
    peers: endpointSchema,
    /** UDP port of the exchange between routers, the same on every VM. */
    exchangePort: z.number().int().min(1).max(65_535),
    /** Metrics and state dump. */
    metricsPort: z.number().int().min(0).max(65_535),
  }),
  /** `listen.peers` of some other VMs; may be stale. */
  seeds: z.array(endpointSchema),
  /** Address of the store that publishes deployments. */
  store: endpointSchema,
  shutdown: z.object({
    /** Time from SIGTERM to SIGKILL in seconds. */
    graceSeconds: secondsSchema,
  }),
  retries: z.object({
    /** Part of the requests, of the whole fleet, that may be sent again. */
    ratio: ratioSchema,
    /** Requests sent again beyond the ratio in one window, fleet-wide. */
    slack: ratioSchema,
    windowSeconds: secondsSchema,
  }),
  /** True when the whole fleet starts for the first time. */
  isFirstStart: z.boolean().default(false),
  /**
   * Time by which a leaving backend server gets no more requests, in
   * milliseconds.
   */
  leaveBoundMs: z.number().positive().default(2_000),
  /**
   * Time after a disturbance by which a router must be up to date again, in
   * milliseconds.
   */
  contactBoundMs: z.number().positive().default(3_000),
  /** Longest time for which callers keep an address answer, in seconds. */
  maxAddressTtlSeconds: secondsSchema.default(5),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
});
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
