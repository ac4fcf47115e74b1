/** Settings file of the operators' tool. */
import fs from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {validateDocument} from '../config/validateDocument.js';
import {ValidationError} from '../protocol/errors.js';

const portSchema = z.number().int().min(1).max(65_535);

export const ctlSettingsSchema = z.strictObject({
  operatorKey: z.string().min(1),
  /** Base URL of the configuration service's read API. */
  configUrl: z.url(),
  /** Base URL of the service that serves the VM list. */
  vmListUrl: z.url(),
  /** Ports of the daemons' operator API, the same on every VM. */
  ports: z.strictObject({gateway: portSchema, dispatcher: portSchema}),
});
export type CtlSettings = z.infer<typeof ctlSettingsSchema>;

/** Reads and validates the settings file; the error lists every problem. */
export function readCtlSettings(
  file: string,
): Result<CtlSettings, ValidationError> {
  return readJsonFile(file).andThen(document =>
    validateDocument(file, ctlSettingsSchema, document),
  );
}

/** Reads and parses a JSON file. */
export function readJsonFile(file: string): Result<unknown, ValidationError> {
  try {
    return ok(JSON.parse(fs.readFileSync(file, 'utf8')));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err(new ValidationError(file, [{path: '', reason}]));
  }
}
