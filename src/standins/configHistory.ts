/** Numbered configuration documents of the platform stand-in. */
import jsonPatch from 'fast-json-patch';
import {err, ok, type Result} from 'neverthrow';
import {computeConfigDigest} from '../protocol/configDigest.js';
import {PatchError, StalePatchError} from '../protocol/errors.js';
import type {
  ConfigChange,
  ConfigChanges,
  ConfigDocument,
  ConfigHead,
} from '../protocol/platformApi.js';

/** Number of documents kept to simulate stale reads. */
const maxKeptDocuments = 64;
/** Largest document that the configuration service accepts, in bytes. */
export const maxDocumentBytes = 1024 * 1024;

/** Keeps the latest documents and the changes between them. */
export class ConfigHistory {
  private readonly documents: Required<ConfigDocument>[] = [];
  private readonly changes: ConfigChange[] = [];

  constructor(
    document: unknown,
    number: number,
    private readonly keptChanges: number,
  ) {
    const digest = computeConfigDigest(document);
    this.documents.push({head: {number, digest}, document});
  }

  /** Returns number and digest of the latest document. */
  getHead(): ConfigHead {
    return this.getDocument().head;
  }

  /** Returns the latest document. */
  getDocument(): Required<ConfigDocument> {
    return this.documents[this.documents.length - 1];
  }

  /** Returns the document with a number, if it is still kept. */
  findDocument(number: number): Required<ConfigDocument> | undefined {
    return this.documents.find(({head}) => head.number === number);
  }

  /**
   * Lists the changes after a number up to a head. The list is empty if the
   * first of them is no longer kept.
   */
  listChangesAfter(after: number, head: ConfigHead): ConfigChanges {
    const oldest = this.changes.at(0)?.number ?? Infinity;
    const changes =
      oldest > after + 1
        ? []
        : this.changes.filter(
            ({number}) => number > after && number <= head.number,
          );
    return {head, changes};
  }

  /** Applies a patch; fails if it is not based on the latest number. */
  applyPatch(
    baseNumber: number,
    operations: ConfigChange['operations'],
  ): Result<ConfigChange, StalePatchError | PatchError> {
    const {head, document} = this.getDocument();
    if (baseNumber !== head.number) {
      return err(new StalePatchError(baseNumber, head.number));
    }
    const patched = buildPatchedDocument(document, operations);
    if (patched.isErr()) return err(patched.error);
    const change: ConfigChange = {
      number: head.number + 1,
      baseDigest: head.digest,
      digest: computeConfigDigest(patched.value),
      operations,
    };
    const {number, digest} = change;
    this.documents.push({head: {number, digest}, document: patched.value});
    if (this.documents.length > maxKeptDocuments) this.documents.shift();
    this.changes.push(change);
    if (this.changes.length > this.keptChanges) this.changes.shift();
    return ok(change);
  }
}

/** Applies operations to a copy of a document. */
function buildPatchedDocument(
  document: unknown,
  operations: ConfigChange['operations'],
): Result<unknown, PatchError> {
  let patched: unknown;
  try {
    patched = jsonPatch.applyPatch(
      document,
      operations as jsonPatch.Operation[],
      true,
      false,
    ).newDocument;
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err(new PatchError(`patch does not apply: ${reason}`, {cause}));
  }
  const bytes = Buffer.byteLength(JSON.stringify(patched));
  if (bytes <= maxDocumentBytes) return ok(patched);
  return err(
    new PatchError(
      `document has ${bytes} bytes; at most ${maxDocumentBytes} are held`,
    ),
  );
}
