/** Hands the operation records of a leaving gateway over to its successor. */
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import type {Member} from '../protocol/memberMessages.js';
import type {HandedRecord, TakeOver} from '../protocol/operationMessages.js';
import type {GatewayPeers} from './gatewayPeers.js';
import type {IssuerDirectory} from './issuerDirectory.js';
import type {OperationRecord} from './operationRecord.js';
import type {OperationRecords} from './operationRecords.js';
import {encodeAnswer} from './operationResults.js';

/** Largest batch of records; a peer message holds at most 4 MB. */
const maxBatchBytes = 1024 * 1024;
const maxBatchRecords = 500;
const callDeadlineMs = 2_000;
const retryDelayMs = 200;

export interface HandoverDependencies {
  records: OperationRecords;
  directory: IssuerDirectory;
  peers: GatewayPeers;
  /** Broadcasts which gateway is now responsible for an issuer. */
  announce: (issuer: string, successor: string) => void;
  log: Log;
}

/** Sending side of a handover. */
export class OperationHandover {
  constructor(private readonly dependencies: HandoverDependencies) {}

  /**
   * Refuses new operations, waits for those in progress until `finishSignal`
   * aborts, seals the records and hands them over until `confirmSignal`
   * aborts. Returns whether the successor confirmed everything.
   */
  async run(
    finishSignal: AbortSignal,
    confirmSignal: AbortSignal,
  ): Promise<boolean> {
    const {records, directory, log} = this.dependencies;
    records.stopAccepting();
    await records.waitUntilIdle(finishSignal);
    records.seal();
    const successor = directory.pickSuccessor();
    if (!successor) {
      log.warn('no live gateway to hand operation records over to');
      return false;
    }
    let confirmed = true;
    for (const issuer of directory.listResponsibleIssuers()) {
      const done = await this.sendRecords(issuer, successor, confirmSignal);
      confirmed &&= done;
    }
    log.note('handover of operation records ended', {
      successor: successor.incarnation,
      confirmed,
    });
    return confirmed;
  }

  private async sendRecords(
    issuer: string,
    successor: Member,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {records, directory, announce} = this.dependencies;
    const batches = splitIntoBatches(records.listByIssuer(issuer));
    for (const [batch, handedRecords] of batches.entries()) {
      const last = batch === batches.length - 1;
      // Once the last batch is sent, the successor may run operations, even if
      // its confirmation is lost.
      if (last) directory.releaseAuthority(issuer, successor);
      const sent = await this.sendUntilConfirmed(
        successor,
        {
          issuer,
          successor: successor.incarnation,
          batch,
          last,
          records: handedRecords,
        },
        signal,
      );
      if (!sent) return false;
    }
    announce(issuer, successor.incarnation);
    return true;
  }

  private async sendUntilConfirmed(
    successor: Member,
    takeOver: TakeOver,
    signal: AbortSignal,
  ): Promise<boolean> {
    while (!signal.aborted) {
      const sent = await this.dependencies.peers.takeOver(
        successor.peerAddress,
        takeOver,
        callDeadlineMs,
      );
      if (sent.isOk()) return true;
      this.dependencies.log.warn(
        'successor did not confirm a batch of operation records',
        {
          issuer: takeOver.issuer,
          batch: takeOver.batch,
          error: sent.error.message,
        },
      );
      await waitFor(retryDelayMs, signal);
    }
    return false;
  }
}

/** Splits records by count and size; returns at least one batch. */
function splitIntoBatches(
  records: readonly OperationRecord[],
): HandedRecord[][] {
  let batch: HandedRecord[] = [];
  let bytes = 0;
  const batches = [batch];
  for (const record of records) {
    const recordBytes = record.computeBytes();
    const full =
      batch.length === maxBatchRecords ||
      (batch.length > 0 && bytes + recordBytes > maxBatchBytes);
    if (full) {
      batch = [];
      bytes = 0;
      batches.push(batch);
    }
    batch.push(encodeRecord(record));
    bytes += recordBytes;
  }
  return batches;
}

function encodeRecord(record: OperationRecord): HandedRecord {
  const {operationKey, customerId, bodyDigest, expiresAtMs} = record.identity;
  const result = record.getResult();
  return {
    operationKey,
    customer: customerId,
    bodyDigest,
    expiresAtMs,
    ...(result ? {result: encodeAnswer(result)} : {}),
  };
}
