/** The numbered configuration that a process holds. */
import jsonPatch from 'fast-json-patch';
import {err, ok, type Result} from 'neverthrow';
import {computeConfigDigest} from '../protocol/configDigest.js';
import {
  configurationSchema,
  type Configuration,
} from '../config/configuration.js';
import {validateDocument} from '../config/validateDocument.js';
import {PatchError, type ValidationError} from '../protocol/errors.js';
import type {
  ConfigChange,
  ConfigDocument,
  ConfigHead,
} from '../protocol/platformApi.js';
import type {Log} from './log.js';

/** Changes kept for peers that are behind. */
const keptChanges = 512;

/** What a read or a broadcast change did to the store. */
export enum ApplyResult {
  Applied = 'applied',
  /** The number is not above the one held. */
  Stale = 'stale',
  /** The number is the one held, with another digest. */
  Conflict = 'conflict',
  /** Changes in between are missing, or the base differs. */
  Gap = 'gap',
}

export type ConfigListener = (configuration: Configuration) => void;

/** State of the store, for the dump. */
export interface ConfigStatus {
  number: number;
  digest: string;
  numberInForce: number;
  lastProblem?: string;
  conflicts: number;
}

/**
 * Holds the newest document and the last valid one. The number never goes
 * down.
 */
export class ConfigStore {
  private raw: unknown;
  private head: ConfigHead = {number: 0, digest: ''};
  private inForce: Configuration | undefined;
  private numberInForce = 0;
  private conflicts = 0;
  private lastProblem: ValidationError | undefined;
  private changes: ConfigChange[] = [];
  private readonly listeners = new Set<ConfigListener>();

  constructor(private readonly log: Log) {}

  /** Number and digest of the newest document. */
  getHead(): ConfigHead {
    return this.head;
  }

  /** The configuration in force; undefined before the first valid one. */
  getConfiguration(): Configuration | undefined {
    return this.inForce;
  }

  /** Number of the configuration in force. */
  getNumberInForce(): number {
    return this.numberInForce;
  }

  /** Calls the listener now, if there is one in force, and at each change. */
  subscribe(listener: ConfigListener): void {
    this.listeners.add(listener);
    if (this.inForce) listener(this.inForce);
  }

  /** Takes a whole document. */
  applyDocument({head, document}: ConfigDocument): ApplyResult {
    const known = this.compareNumber(head.number, head.digest);
    if (known !== ApplyResult.Applied) return known;
    this.changes = [];
    this.replaceRaw(head, document);
    return ApplyResult.Applied;
  }

  /** Takes the change that follows the document held. */
  applyChange(change: ConfigChange): ApplyResult {
    const known = this.compareNumber(change.number, change.digest);
    if (known !== ApplyResult.Applied) return known;
    const follows =
      change.number === this.head.number + 1 &&
      change.baseDigest === this.head.digest;
    if (!follows) return ApplyResult.Gap;
    const patched = applyPatch(this.raw, change);
    if (patched.isErr()) {
      this.log.raise('configuration change does not apply', {
        number: change.number,
        error: patched.error.message,
      });
      return ApplyResult.Gap;
    }
    this.changes.push(change);
    if (this.changes.length > keptChanges) this.changes.shift();
    const {number, digest} = change;
    this.replaceRaw({number, digest}, patched.value);
    return ApplyResult.Applied;
  }

  /** Changes after a number; empty when they are not held without a gap. */
  listChangesAfter(after: number): ConfigChange[] {
    const first = this.changes[0];
    if (!first || first.number > after + 1) return [];
    return this.changes.filter(change => change.number > after);
  }

  /** The newest document with its number. */
  getDocument(): ConfigDocument {
    return {head: this.head, document: this.raw ?? null};
  }

  /** State for the dump. */
  describe(): ConfigStatus {
    return {
      ...this.head,
      numberInForce: this.numberInForce,
      lastProblem: this.lastProblem?.message,
      conflicts: this.conflicts,
    };
  }

  private compareNumber(number: number, digest: string): ApplyResult {
    if (number > this.head.number) return ApplyResult.Applied;
    if (number < this.head.number || digest === this.head.digest) {
      return ApplyResult.Stale;
    }
    this.conflicts += 1;
    this.log.raise('two documents have the same configuration number', {
      number,
      digestHeld: this.head.digest,
      digestSeen: digest,
    });
    return ApplyResult.Conflict;
  }

  private replaceRaw(head: ConfigHead, document: unknown): void {
    this.raw = document;
    this.head = head;
    const checked = validateDocument(
      `configuration ${head.number}`,
      configurationSchema,
      document,
    );
    if (checked.isErr()) {
      this.lastProblem = checked.error;
      this.log.raise('configuration is not valid; the last valid one stays', {
        number: head.number,
        numberInForce: this.numberInForce,
        error: checked.error.message,
      });
      return;
    }
    this.lastProblem = undefined;
    this.inForce = checked.value;
    this.numberInForce = head.number;
    this.log.note('configuration in force', {number: head.number});
    for (const listener of this.listeners) listener(checked.value);
  }
}

/** Applies a change to a copy of a document and checks the digest. */
function applyPatch(
  document: unknown,
  change: ConfigChange,
): Result<unknown, PatchError> {
  try {
    const copy: unknown = structuredClone(document);
    const operations = change.operations as jsonPatch.Operation[];
    const patched: unknown = jsonPatch.applyPatch(
      copy,
      operations,
      true,
    ).newDocument;
    if (computeConfigDigest(patched) !== change.digest) {
      return err(
        new PatchError(
          `the result of change ${change.number} has another digest`,
        ),
      );
    }
    return ok(patched);
  } catch (cause) {
    return err(
      new PatchError(`change ${change.number} does not apply`, {cause}),
    );
  }
}
