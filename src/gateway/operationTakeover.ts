/** Receives the operation records of a leaving gateway. */
import type {HandedRecord, TakeOver} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {IssuerDirectory} from './issuerDirectory.js';
import type {OperationRecords} from './operationRecords.js';
import {decodeAnswer} from './operationResults.js';

interface TakeoverProgress {
  received: Set<number>;
  /** Number of batches; undefined until the last one arrives. */
  batches?: number;
}

/** Receiving side of a handover; batches may arrive twice and in any order. */
export class OperationTakeover {
  private readonly progress = new Map<string, TakeoverProgress>();

  constructor(
    private readonly self: string,
    private readonly records: OperationRecords,
    private readonly directory: IssuerDirectory,
    /** Broadcasts that this process is responsible for an issuer. */
    private readonly announce: (issuer: string) => void,
  ) {}

  /** Stores one batch; throws a `Refusal` if it can't be accepted. */
  receive(takeOver: TakeOver): void {
    const {issuer, batch, last} = takeOver;
    if (this.directory.isResponsible(issuer)) return;
    const refused =
      takeOver.successor !== this.self ||
      issuer === this.self ||
      this.directory.isHandedOver(issuer) ||
      !this.records.isAccepting();
    if (refused) throw buildTakeoverRefusal();
    for (const record of takeOver.records) this.adopt(issuer, record);
    const progress = this.progress.get(issuer) ?? {received: new Set()};
    this.progress.set(issuer, progress);
    progress.received.add(batch);
    if (last) progress.batches = batch + 1;
    if (progress.received.size !== progress.batches) return;
    this.progress.delete(issuer);
    this.directory.adopt(issuer);
    this.announce(issuer);
  }

  private adopt(issuer: string, record: HandedRecord): void {
    const {operationKey, customer, bodyDigest, expiresAtMs, result} = record;
    const adopted = this.records.adopt(
      {operationKey, issuer, customerId: customer, bodyDigest, expiresAtMs},
      result && decodeAnswer(result),
    );
    if (adopted.isErr()) throw adopted.error;
  }
}

function buildTakeoverRefusal(): Refusal {
  return new Refusal(
    RefusalReason.ShuttingDown,
    Outcome.NotRun,
    'this gateway does not take these records over',
  );
}
