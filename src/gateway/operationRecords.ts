/** Records of the operation keys that this gateway is responsible for. */
import {err, ok, type Result} from 'neverthrow';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {ExpiryClock} from './expiryClock.js';
import {
  buildExpiredRefusal,
  buildShutdownRefusal,
  OperationRecord,
  OperationState,
  type OperationAnswer,
  type OperationIdentity,
} from './operationRecord.js';

/**
 * Records outlive their prefix by this time, so that retries get the answer.
 * It also bounds the clock difference between gateways that a hand-over
 * tolerates: the successor decides on expiry by its own clock.
 */
export const retentionMs = 10 * 60_000;
/** Largest answer of an operation in bytes; reserved while it runs. */
export const maxOperationAnswerBytes = 512 * 1024;
const base64Factor = 4 / 3;
const sweepIntervalMs = 10_000;
const fullRetryAfterMs = 5_000;
/** Part of each bound that one customer can use. */
const customerShare = 0.5;

export interface RecordBounds {
  maxRecords: number;
  maxBytes: number;
}

/** Leaves most of the 128 MB of a daemon to everything else. */
export const defaultRecordBounds: RecordBounds = {
  maxRecords: 50_000,
  maxBytes: 48 * 1024 * 1024,
};

interface Usage {
  records: number;
  bytes: number;
}

/** Holds the records, within bounds; a full store refuses new keys. */
export class OperationRecords {
  private readonly records = new Map<string, OperationRecord>();
  private readonly charged = new Map<string, number>();
  private readonly usageByCustomer = new Map<string, Usage>();
  private readonly total: Usage = {records: 0, bytes: 0};
  private readonly quietListeners = new Set<() => void>();
  private running = 0;
  private accepting = true;
  private sealed = false;
  private sweptAtMs = 0;

  constructor(
    private readonly clock: ExpiryClock,
    private readonly bounds: RecordBounds = defaultRecordBounds,
  ) {}

  /**
   * Finds or creates the record of a key and reserves memory for an attempt.
   * The refusals of a key without a record state that nothing ran under it.
   */
  open(
    identity: OperationIdentity,
    bodyBytes: number,
  ): Result<OperationRecord, Refusal> {
    this.dropExpired();
    const known = this.records.get(identity.operationKey);
    if (known && known.identity.bodyDigest !== identity.bodyDigest) {
      return err(buildReusedRefusal());
    }
    if (known && !known.isIdle()) return ok(known);
    if (this.clock.getNowMs() >= identity.expiresAtMs) {
      return err(
        buildExpiredRefusal(known ? Outcome.NotRun : Outcome.MayHaveRun),
      );
    }
    if (!this.accepting) return err(buildShutdownRefusal());
    const needed =
      bodyBytes + Math.ceil(maxOperationAnswerBytes * base64Factor);
    if (!this.hasRoom(identity, known ? 0 : 1, needed)) {
      return err(buildFullRefusal());
    }
    const record = known ?? this.create(identity);
    this.charge(record, record.computeBytes() + needed);
    return ok(record);
  }

  /** Gives back what `open` reserved, unless an attempt is in progress. */
  refreshCharge(record: OperationRecord): void {
    if (!record.isRunning()) this.charge(record, record.computeBytes());
  }

  /** Looks up a record. */
  find(operationKey: string): OperationRecord | undefined {
    return this.records.get(operationKey);
  }

  /** Adds a record that another gateway handed over. */
  adopt(
    identity: OperationIdentity,
    result: OperationAnswer | undefined,
  ): Result<void, Refusal> {
    if (this.records.has(identity.operationKey)) return ok(undefined);
    const bytes = result?.isOk() ? result.value.body.length : 0;
    if (!this.accepting) return err(buildShutdownRefusal());
    if (!this.hasTotalRoom(1, bytes)) return err(buildFullRefusal());
    const record = this.create(identity);
    if (result) record.adoptResult(result);
    return ok(undefined);
  }

  /** Refuses new attempts from now on; those in progress go on. */
  stopAccepting(): void {
    this.accepting = false;
  }

  /** Ends all attempts for good; nothing is dispatched here afterwards. */
  seal(): void {
    this.accepting = false;
    this.sealed = true;
    for (const record of this.records.values()) record.seal();
  }

  isSealed(): boolean {
    return this.sealed;
  }

  isAccepting(): boolean {
    return this.accepting;
  }

  /** Lists the records of an issuer. */
  listByIssuer(issuer: string): OperationRecord[] {
    return [...this.records.values()].filter(
      record => record.identity.issuer === issuer,
    );
  }

  /** Resolves when no attempt is in progress, or when the signal aborts. */
  async waitUntilQuiet(signal: AbortSignal): Promise<void> {
    if (this.running === 0 || signal.aborted) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        this.quietListeners.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.quietListeners.add(finish);
      signal.addEventListener('abort', finish, {once: true});
    });
  }

  /** Counts by state, for the dump. */
  describe(): object {
    const counts: Record<OperationState, number> = {
      [OperationState.Accepted]: 0,
      [OperationState.Dispatched]: 0,
      [OperationState.Finished]: 0,
      [OperationState.Unknown]: 0,
    };
    for (const record of this.records.values()) counts[record.getState()] += 1;
    const {accepting, sealed, running, total} = this;
    return {...counts, accepting, sealed, running, bytes: total.bytes};
  }

  private create(identity: OperationIdentity): OperationRecord {
    let wasRunning = false;
    const record: OperationRecord = new OperationRecord(
      identity,
      () => this.clock.getNowMs(),
      () => {
        const running = record.isRunning();
        this.noteRunning(wasRunning, running);
        wasRunning = running;
        this.refreshCharge(record);
      },
    );
    this.records.set(identity.operationKey, record);
    this.getUsage(identity.customerId).records += 1;
    this.total.records += 1;
    this.charge(record, record.computeBytes());
    return record;
  }

  private noteRunning(before: boolean, after: boolean): void {
    this.running += Number(after) - Number(before);
    if (this.running > 0) return;
    for (const listener of [...this.quietListeners]) listener();
  }

  /** Drops the records whose retention is over; one that runs stays. */
  private dropExpired(): void {
    const nowMs = this.clock.getNowMs();
    const due = nowMs - this.sweptAtMs >= sweepIntervalMs;
    if (!due && this.total.records < this.bounds.maxRecords) return;
    this.sweptAtMs = nowMs;
    for (const [key, record] of this.records) {
      if (record.isRunning()) continue;
      if (nowMs < record.identity.expiresAtMs + retentionMs) continue;
      this.charge(record, 0);
      this.charged.delete(key);
      this.records.delete(key);
      this.total.records -= 1;
      this.releaseUsage(record.identity.customerId);
    }
  }

  private releaseUsage(customerId: string): void {
    const usage = this.getUsage(customerId);
    usage.records -= 1;
    if (usage.records === 0) this.usageByCustomer.delete(customerId);
  }

  private getUsage(customerId: string): Usage {
    const known = this.usageByCustomer.get(customerId);
    if (known) return known;
    const usage: Usage = {records: 0, bytes: 0};
    this.usageByCustomer.set(customerId, usage);
    return usage;
  }

  private charge(record: OperationRecord, bytes: number): void {
    const {operationKey, customerId} = record.identity;
    const change = bytes - (this.charged.get(operationKey) ?? 0);
    this.charged.set(operationKey, bytes);
    this.getUsage(customerId).bytes += change;
    this.total.bytes += change;
  }

  private hasRoom(
    {customerId}: OperationIdentity,
    records: number,
    bytes: number,
  ): boolean {
    const usage = this.usageByCustomer.get(customerId);
    const {maxRecords, maxBytes} = this.bounds;
    const withinShare =
      (usage?.records ?? 0) + records <= maxRecords * customerShare &&
      (usage?.bytes ?? 0) + bytes <= maxBytes * customerShare;
    return withinShare && this.hasTotalRoom(records, bytes);
  }

  private hasTotalRoom(records: number, bytes: number): boolean {
    return (
      this.total.records + records <= this.bounds.maxRecords &&
      this.total.bytes + bytes <= this.bounds.maxBytes
    );
  }
}

function buildReusedRefusal(): Refusal {
  return new Refusal(
    RefusalReason.OperationKeyReused,
    Outcome.NotRun,
    'the operation key was used with another class or body',
  );
}

function buildFullRefusal(): Refusal {
  return new Refusal(
    RefusalReason.QueueFull,
    Outcome.NotRun,
    'the gateway holds too many operation records',
    {retryAfterMs: fullRetryAfterMs},
  );
}
