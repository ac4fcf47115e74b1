/** Schema and reader of the settings file of a daemon. */
import fs from 'node:fs';
import {err, type Result} from 'neverthrow';
import {z} from 'zod';
import {ValidationError} from '../protocol/errors.js';
import {validateDocument} from './validateDocument.js';

/** Minimum length of a key, in characters. */
const minKeyLength = 24;

const portSchema = z.number().int().min(1).max(65_535);

export const settingsSchema = z.strictObject({
  /** Name of the VM, as in the platform's VM list. */
  vm: z.string().min(1),
  zone: z.string().min(1),
  /** IP address at which peers and callers reach the VM. */
  address: z.ipv4().or(z.ipv6()),
  /** IP address of the operators' interface; separate from `address`. */
  operatorAddress: z.ipv4().or(z.ipv6()),
  /** Port numbers; the same on every VM. */
  ports: z.strictObject({
    callers: portSchema,
    gatewayPeers: portSchema,
    dispatcherPeers: portSchema,
    gatewayOperators: portSchema,
    dispatcherOperators: portSchema,
  }),
  platform: z.strictObject({
    /** Base URL of the configuration service. */
    configUrl: z.url(),
    /** Base URL of the VM list. */
    vmListUrl: z.url(),
  }),
  keys: z.strictObject({
    peer: z.string().min(minKeyLength),
    operator: z.string().min(minKeyLength),
    /** Presented to engines that authenticate the sender of an order. */
    engineOrders: z.string().min(minKeyLength).optional(),
  }),
  /** Time limits of the graceful shutdown of a gateway. */
  leave: z
    .strictObject({
      /** Longest shutdown; requests still in progress are then aborted. */
      boundMs: z.number().positive().optional(),
      /** Longest time for which a leaving gateway keeps listening. */
      listenMs: z.number().positive().optional(),
      /** Time without callers after which it stops listening earlier. */
      quietMs: z.number().positive().optional(),
    })
    .optional(),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
});
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Reads and validates a settings file; the error lists all problems.
 *
 * @example
 * readSettings('/etc/anvilstall/settings.json')
 */
export function readSettings(file: string): Result<Settings, ValidationError> {
  return readSettingsFile(file, settingsSchema);
}

/**
 * Reads a settings file and validates it against a schema.
 *
 * @param defaults - fields that apply where the file doesn't state them
 */
export function readSettingsFile<S extends z.ZodType>(
  file: string,
  schema: S,
  defaults: Readonly<Record<string, unknown>> = {},
): Result<z.output<S>, ValidationError> {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err(new ValidationError(file, [{path: '', reason}]));
  }
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch (cause) {
    const reason = `not valid JSON${describePosition(text, cause)}`;
    return err(new ValidationError(file, [{path: '', reason}]));
  }
  return validateDocument(
    file,
    schema,
    isTable(document) ? {...defaults, ...document} : document,
  );
}

function isTable(document: unknown): document is object {
  return (
    typeof document === 'object' &&
    document !== null &&
    !Array.isArray(document)
  );
}

/**
 * Returns line and column of a syntax error, since its message could contain
 * parts of keys.
 */
function describePosition(text: string, cause: unknown): string {
  const match = /position (\d+)/.exec(String(cause));
  if (!match) return '';
  const lines = text.slice(0, Number(match[1])).split('\n');
  return ` at line ${lines.length}, column ${lines.at(-1)!.length + 1}`;
}
