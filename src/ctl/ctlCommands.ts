/** Commands of the operators' tool; each returns an object to print as JSON. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {validateDocument} from '../config/validateDocument.js';
import type {AnvilstallError} from '../protocol/errors.js';
import type {MemberRole} from '../protocol/memberMessages.js';
import {readJsonFile} from './ctlSettings.js';
import type {DaemonAddress, OperatorClient} from './operatorClient.js';
import {buildPatch, checkPatch, patchFileSchema} from './patchFile.js';

export type CommandResult = Promise<Result<object, AnvilstallError>>;

/** Fields of a daemon's dump that the fleet overview shows. */
const dumpSummarySchema = z.looseObject({
  self: z.looseObject({
    incarnation: z.string(),
    state: z.string(),
    zone: z.string(),
    load: z.number(),
  }),
  configuration: z.looseObject({
    number: z.number(),
    numberInForce: z.number(),
    digest: z.string(),
  }),
  memoryBytes: z.number(),
});

/** Commands of `anvilstall-ctl` that call daemons or the platform. */
export class CtlCommands {
  constructor(private readonly client: OperatorClient) {}

  /**
   * Lists every daemon with its state and its configuration number. A daemon
   * that cannot be read is listed with the error.
   */
  async listFleet(): CommandResult {
    const daemons = await this.client.listDaemons();
    if (daemons.isErr()) return err(daemons.error);
    const rows = await Promise.all(
      daemons.value.map(daemon => this.describeDaemon(daemon)),
    );
    return ok(rows);
  }

  /** Reads the platform's latest configuration document. */
  async readConfiguration(): CommandResult {
    return this.client.readDocument();
  }

  /** Builds the patch from the current configuration to the one in a file. */
  async makePatch(desiredFile: string): CommandResult {
    const desired = readJsonFile(desiredFile);
    if (desired.isErr()) return err(desired.error);
    const current = await this.client.readDocument();
    if (current.isErr()) return err(current.error);
    return buildPatch(current.value, desired.value as object);
  }

  /** Checks a patch file against the current configuration. */
  async checkPatchFile(patchFile: string): CommandResult {
    const patch = readJsonFile(patchFile).andThen(document =>
      validateDocument(patchFile, patchFileSchema, document),
    );
    if (patch.isErr()) return err(patch.error);
    const current = await this.client.readDocument();
    if (current.isErr()) return err(current.error);
    const {baseNumber} = patch.value;
    return checkPatch(current.value, patch.value).map(() => ({
      valid: true,
      baseNumber,
    }));
  }

  /** Reads a daemon's dump. */
  async dump(vm: string, role: MemberRole): CommandResult {
    const daemon = await this.client.findDaemon(vm, role);
    if (daemon.isErr()) return err(daemon.error);
    const dump = await this.client.readDump(daemon.value);
    return dump.map(value => value as object);
  }

  /** Starts a daemon's graceful shutdown. */
  async drain(vm: string, role: MemberRole): CommandResult {
    const daemon = await this.client.findDaemon(vm, role);
    if (daemon.isErr()) return err(daemon.error);
    const answer = await this.client.drain(daemon.value);
    return answer.map(value => value as object);
  }

  /** Sets the log level of a running daemon. */
  async setLogLevel(
    vm: string,
    role: MemberRole,
    level: string,
  ): CommandResult {
    const daemon = await this.client.findDaemon(vm, role);
    if (daemon.isErr()) return err(daemon.error);
    const answer = await this.client.setLogLevel(daemon.value, level);
    return answer.map(value => value as object);
  }

  private async describeDaemon(daemon: DaemonAddress): Promise<object> {
    const {vm, role} = daemon;
    const dump = await this.client.readDump(daemon);
    if (dump.isErr()) return {vm, role, error: dump.error.message};
    const summary = dumpSummarySchema.safeParse(dump.value);
    if (!summary.success) return {vm, role, error: summary.error.message};
    const {self, configuration, memoryBytes} = summary.data;
    return {
      vm,
      role,
      incarnation: self.incarnation,
      state: self.state,
      zone: self.zone,
      load: self.load,
      configNumber: configuration.number,
      configNumberInForce: configuration.numberInForce,
      configDigest: configuration.digest,
      memoryBytes,
    };
  }
}
