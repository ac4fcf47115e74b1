/** Schema of the configuration document that the platform publishes. */
import {z} from 'zod';
import {EngineRole} from '../protocol/engineApi.js';

/** Number of service tiers; tier 0 is the most urgent. */
export const tierCount = 4;
/** Limit on the sum of the minimum shares of all request classes. */
export const maxMinimumShareSum = 0.5;

export enum ClassKind {
  Model = 'model',
  Service = 'service',
}

export enum BackendServerKind {
  ModelEngine = 'modelEngine',
  PlainService = 'plainService',
}

export enum Fencing {
  /** The server refuses an order with an old fencing number. */
  Honoured = 'honoured',
  /** The server ignores fencing numbers. */
  Ignored = 'ignored',
}

export enum BackendServerState {
  Active = 'active',
  Leaving = 'leaving',
}

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/);
const millisecondsSchema = z.number().positive().max(3_600_000);

export const requestClassSchema = z.strictObject({
  kind: z.enum(ClassKind),
  tier: z
    .number()
    .int()
    .min(0)
    .max(tierCount - 1),
  /** Share of a server's grants that the class gets while it has requests. */
  minimumShare: z.number().min(0).max(maxMinimumShareSum),
  /** False: requests run at most once and need an operation key. */
  repeatable: z.boolean(),
  /** Target time to first token, or to the answer of a plain service. */
  firstTokenMs: millisecondsSchema,
  /** Target for the mean time between tokens; only for model classes. */
  betweenTokensMs: millisecondsSchema.optional(),
  /** Default deadline, for requests that set none. */
  deadlineMs: millisecondsSchema,
});
export type RequestClass = z.infer<typeof requestClassSchema>;

export const customerSchema = z.strictObject({
  /** SHA-256 of the API key, as hexadecimal. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/),
  classes: z.array(nameSchema).min(1),
  requestsPerSecond: z.number().positive(),
  tokensPerSecond: z.number().positive(),
  concurrentRequests: z.number().int().positive(),
});
export type Customer = z.infer<typeof customerSchema>;

export const modelSchema = z.strictObject({
  version: z.string(),
  adapters: z.array(nameSchema),
});
export type Model = z.infer<typeof modelSchema>;

const backendServerBase = {
  /** `ip:port`. */
  address: z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/),
  zone: nameSchema,
  /** Number of requests that the server processes concurrently. */
  slots: z.number().int().positive(),
  state: z.enum(BackendServerState).default(BackendServerState.Active),
};

export const backendServerSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal(BackendServerKind.ModelEngine),
    ...backendServerBase,
    models: z.array(nameSchema).min(1),
    role: z.enum(EngineRole).default(EngineRole.Mixed),
    fencing: z.enum(Fencing),
    /** True: the engine authenticates the sender of an order. */
    verifiesSender: z.boolean().default(false),
  }),
  z.strictObject({
    kind: z.literal(BackendServerKind.PlainService),
    ...backendServerBase,
    service: nameSchema,
  }),
]);
export type BackendServer = z.infer<typeof backendServerSchema>;
export type ModelEngine = Extract<
  BackendServer,
  {kind: BackendServerKind.ModelEngine}
>;

const configurationShape = z.strictObject({
  region: nameSchema,
  /** One-way network latency between zones in milliseconds, per direction. */
  zones: z.record(nameSchema, z.record(nameSchema, z.number().nonnegative())),
  classes: z.record(nameSchema, requestClassSchema),
  customers: z.record(nameSchema, customerSchema),
  models: z.record(nameSchema, modelSchema),
  backendServers: z.record(nameSchema, backendServerSchema),
  /** Limit on weight store loads per second, over all dispatchers. */
  weightStoreLoadsPerSecond: z.number().positive(),
  /** Limit on the requests queued for one backend server. */
  maxQueueLength: z.number().int().positive(),
});

/** Schema with cross-field checks; each issue has the path of the bad value. */
export const configurationSchema = configurationShape.superRefine(
  (configuration, context) => {
    checkMinimumShares(configuration, context);
    checkCustomerClasses(configuration, context);
    checkBackendServers(configuration, context);
  },
);
export type Configuration = z.infer<typeof configurationShape>;

function checkMinimumShares(
  {classes}: Configuration,
  context: z.RefinementCtx,
): void {
  const sum = Object.values(classes).reduce(
    (total, requestClass) => total + requestClass.minimumShare,
    0,
  );
  if (sum <= maxMinimumShareSum + 1e-9) return;
  context.addIssue({
    code: 'custom',
    path: ['classes'],
    message: `minimum shares add up to ${sum}; at most ${maxMinimumShareSum} is allowed`,
  });
}

function checkCustomerClasses(
  {classes, customers}: Configuration,
  context: z.RefinementCtx,
): void {
  for (const [id, customer] of Object.entries(customers)) {
    for (const [index, name] of customer.classes.entries()) {
      if (Object.hasOwn(classes, name)) continue;
      context.addIssue({
        code: 'custom',
        path: ['customers', id, 'classes', index],
        message: `class "${name}" does not exist`,
      });
    }
  }
}

function checkBackendServers(
  {backendServers, models, zones}: Configuration,
  context: z.RefinementCtx,
): void {
  for (const [id, server] of Object.entries(backendServers)) {
    if (!Object.hasOwn(zones, server.zone)) {
      context.addIssue({
        code: 'custom',
        path: ['backendServers', id, 'zone'],
        message: `zone "${server.zone}" does not exist`,
      });
    }
    if (server.kind !== BackendServerKind.ModelEngine) continue;
    for (const [index, model] of server.models.entries()) {
      if (Object.hasOwn(models, model)) continue;
      context.addIssue({
        code: 'custom',
        path: ['backendServers', id, 'models', index],
        message: `model "${model}" does not exist`,
      });
    }
  }
}
