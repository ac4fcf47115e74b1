/** Store of the numbered configuration that a process holds. */
import {err, ok, type Result} from 'neverthrow';
import {computeConfigDigest} from '../protocol/configDigest.js';
import {applyOperations} from '../config/applyOperations.js';
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
/** Limit on changes kept that arrived before an earlier one. */
const maxPendingChanges = 256;

/** Effect of a document or a change on the store. */
export enum ApplyResult {
  Applied = 'applied',
  /** The number is not higher than the one held. */
  Stale = 'stale',
  /** The number equals the one held, but the digest differs. */
  Conflict = 'conflict',
  /** Earlier changes are missing, or the change does not fit the document. */
  Gap = 'gap',
  /** The document does not match the digest in its head. */
  Mismatch = 'mismatch',
}

export type ConfigListener = (configuration: Configuration) => void;

/** State of the store, for the dump. */
export interface ConfigStatus {
  number: number;
  digest: string;
  numberInForce: number;
  lastProblem?: string;
  conflicts: number;
  changesHeld: number;
}

/**
 * Holds the newest document and the last valid one. The number never
 * decreases.
 */
export class ConfigStore {
  private rawDocument: unknown;
  private head: ConfigHead = {number: 0, digest: ''};
  private inForce: Configuration | undefined;
  private numberInForce = 0;
  private lastProblem: ValidationError | undefined;
  private changes: ConfigChange[] = [];
  private readonly pendingChanges = new Map<number, ConfigChange>();
  private readonly conflictingDigests = new Set<string>();
  private readonly listeners = new Set<ConfigListener>();

  constructor(private readonly log: Log) {}

  /** Returns number and digest of the newest document. */
  getHead(): ConfigHead {
    return this.head;
  }

  /** Returns the configuration in force, if there has been a valid one. */
  getConfiguration(): Configuration | undefined {
    return this.inForce;
  }

  getNumberInForce(): number {
    return this.numberInForce;
  }

  /**
   * Calls the listener with each new configuration in force, and at once with
   * the current one if there is one.
   */
  subscribe(listener: ConfigListener): void {
    this.listeners.add(listener);
    if (this.inForce) listener(this.inForce);
  }

  /** Applies a whole document. */
  applyDocument({head, document}: ConfigDocument): ApplyResult {
    const known = this.compareNumber(head.number, head.digest);
    if (known !== ApplyResult.Applied) return known;
    if (computeConfigDigest(document) !== head.digest) {
      this.log.raise('configuration document does not match its digest', {
        number: head.number,
        digest: head.digest,
      });
      return ApplyResult.Mismatch;
    }
    this.changes = [];
    this.replaceDocument(head, document);
    this.applyPendingChanges();
    return ApplyResult.Applied;
  }

  /**
   * Applies the change that follows the document held. A later change is kept
   * until the changes before it have arrived.
   */
  applyChange(change: ConfigChange): ApplyResult {
    const known = this.compareNumber(change.number, change.digest);
    if (known !== ApplyResult.Applied) return known;
    if (change.number > this.head.number + 1) {
      this.addPendingChange(change);
      return ApplyResult.Gap;
    }
    const result = this.applyNextChange(change);
    if (result === ApplyResult.Applied) this.applyPendingChanges();
    return result;
  }

  /** Compares a head that another process has sent; counts a conflict. */
  compareHead(head: ConfigHead): ApplyResult {
    return this.compareNumber(head.number, head.digest);
  }

  /** Returns the changes after a number, or none if they are not all held. */
  listChangesAfter(after: number): ConfigChange[] {
    const first = this.changes[0];
    if (!first || first.number > after + 1) return [];
    return this.changes.filter(change => change.number > after);
  }

  /** Returns the newest document with its head. */
  getDocument(): ConfigDocument {
    return {head: this.head, document: this.rawDocument ?? null};
  }

  /** Returns the state for the dump. */
  describe(): ConfigStatus {
    return {
      ...this.head,
      numberInForce: this.numberInForce,
      lastProblem: this.lastProblem?.message,
      conflicts: this.conflictingDigests.size,
      changesHeld: this.pendingChanges.size,
    };
  }

  private addPendingChange(change: ConfigChange): void {
    this.pendingChanges.set(change.number, change);
    if (this.pendingChanges.size <= maxPendingChanges) return;
    // The highest numbers are the last to be applied, so they can be fetched
    // again in the meantime.
    this.pendingChanges.delete(Math.max(...this.pendingChanges.keys()));
  }

  private applyPendingChanges(): void {
    for (;;) {
      const next = this.pendingChanges.get(this.head.number + 1);
      if (!next || this.applyNextChange(next) !== ApplyResult.Applied) break;
    }
    for (const number of [...this.pendingChanges.keys()]) {
      if (number <= this.head.number) this.pendingChanges.delete(number);
    }
  }

  private applyNextChange(change: ConfigChange): ApplyResult {
    if (change.baseDigest !== this.head.digest) return ApplyResult.Gap;
    const patched = applyPatch(this.rawDocument, change);
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
    this.replaceDocument({number, digest}, patched.value);
    return ApplyResult.Applied;
  }

  private compareNumber(number: number, digest: string): ApplyResult {
    if (number > this.head.number) return ApplyResult.Applied;
    if (number < this.head.number || digest === this.head.digest) {
      return ApplyResult.Stale;
    }
    // Each conflicting digest is logged once, since pings repeat it every
    // second.
    if (this.conflictingDigests.has(digest)) return ApplyResult.Conflict;
    this.conflictingDigests.add(digest);
    this.log.raise('two documents have the same configuration number', {
      number,
      digestHeld: this.head.digest,
      digestSeen: digest,
    });
    return ApplyResult.Conflict;
  }

  private replaceDocument(head: ConfigHead, document: unknown): void {
    this.rawDocument = document;
    this.head = head;
    const checked = validateDocument(
      `configuration ${head.number}`,
      configurationSchema,
      document,
    );
    if (checked.isErr()) {
      this.lastProblem = checked.error;
      this.log.raise('configuration is not valid; keeping the last valid one', {
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

/** Applies a change to a copy of a document and checks the resulting digest. */
function applyPatch(
  document: unknown,
  {number, operations, digest}: ConfigChange,
): Result<unknown, PatchError> {
  return applyOperations(document, operations)
    .mapErr(cause => new PatchError(`change ${number} does not apply`, {cause}))
    .andThen(patched =>
      computeConfigDigest(patched) === digest
        ? ok(patched)
        : err(
            new PatchError(
              `result of change ${number} does not match its digest`,
            ),
          ),
    );
}
