/** The numbered configuration that a process holds. */
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
/** Changes held that arrived before an earlier one. */
const maxHeldChanges = 256;

/** What a read or a broadcast change did to the store. */
export enum ApplyResult {
  Applied = 'applied',
  /** The number is not above the one held. */
  Stale = 'stale',
  /** The number is the one held, with another digest. */
  Conflict = 'conflict',
  /** Changes in between are missing, or the base differs. */
  Gap = 'gap',
  /** The document doesn't have the digest that its head names. */
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
 * Holds the newest document and the last valid one. The number never goes
 * down.
 */
export class ConfigStore {
  private raw: unknown;
  private head: ConfigHead = {number: 0, digest: ''};
  private inForce: Configuration | undefined;
  private numberInForce = 0;
  private lastProblem: ValidationError | undefined;
  private changes: ConfigChange[] = [];
  private readonly held = new Map<number, ConfigChange>();
  private readonly conflictsSeen = new Set<string>();
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
    if (computeConfigDigest(document) !== head.digest) {
      this.log.raise('configuration document does not match its digest', {
        number: head.number,
        digest: head.digest,
      });
      return ApplyResult.Mismatch;
    }
    this.changes = [];
    this.replaceRaw(head, document);
    this.applyHeld();
    return ApplyResult.Applied;
  }

  /**
   * Takes the change that follows the document held. A later one is kept until
   * the changes before it have arrived.
   */
  applyChange(change: ConfigChange): ApplyResult {
    const known = this.compareNumber(change.number, change.digest);
    if (known !== ApplyResult.Applied) return known;
    if (change.number > this.head.number + 1) {
      this.holdChange(change);
      return ApplyResult.Gap;
    }
    const result = this.applyNext(change);
    if (result === ApplyResult.Applied) this.applyHeld();
    return result;
  }

  /** Compares a head that another process has shown; counts a conflict. */
  noteHead(head: ConfigHead): ApplyResult {
    return this.compareNumber(head.number, head.digest);
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
      conflicts: this.conflictsSeen.size,
      changesHeld: this.held.size,
    };
  }

  private holdChange(change: ConfigChange): void {
    this.held.set(change.number, change);
    if (this.held.size <= maxHeldChanges) return;
    // The highest numbers are the easiest ones to get again.
    this.held.delete(Math.max(...this.held.keys()));
  }

  private applyHeld(): void {
    for (;;) {
      const next = this.held.get(this.head.number + 1);
      if (!next || this.applyNext(next) !== ApplyResult.Applied) break;
    }
    for (const number of [...this.held.keys()]) {
      if (number <= this.head.number) this.held.delete(number);
    }
  }

  private applyNext(change: ConfigChange): ApplyResult {
    if (change.baseDigest !== this.head.digest) return ApplyResult.Gap;
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

  private compareNumber(number: number, digest: string): ApplyResult {
    if (number > this.head.number) return ApplyResult.Applied;
    if (number < this.head.number || digest === this.head.digest) {
      return ApplyResult.Stale;
    }
    // Each digest is an alarm once; pings repeat it every second.
    if (this.conflictsSeen.has(digest)) return ApplyResult.Conflict;
    this.conflictsSeen.add(digest);
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
  {number, operations, digest}: ConfigChange,
): Result<unknown, PatchError> {
  return applyOperations(document, operations)
    .mapErr(cause => new PatchError(`change ${number} does not apply`, {cause}))
    .andThen(patched =>
      computeConfigDigest(patched) === digest
        ? ok(patched)
        : err(
            new PatchError(`the result of change ${number} has another digest`),
          ),
    );
}
