/** Store of the operation records that this gateway is responsible for. */
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
 * Time for which records are kept after their prefix expired, so that retries
 * get the recorded answer. It is also the largest clock difference between
 * gateways that a handover tolerates, because the successor checks the expiry
 * against its own clock.
 */
export const retentionMs = 10 * 60_000;
/** Largest answer of an operation; this much is reserved while it runs. */
export const maxOperationAnswerBytes = 512 * 1024;
const base64ExpansionRatio = 4 / 3;
const sweepIntervalMs = 10_000;
const fullRetryAfterMs = 5_000;
/** Part of each bound that a single customer can use. */
const maxCustomerRatio = 0.5;

export interface RecordBounds {
  maxRecords: number;
  maxBytes: number;
}

/** 48 MB leave most of a daemon's 128 MB to its other parts. */
export const defaultRecordBounds: RecordBounds = {
  maxRecords: 50_000,
  maxBytes: 48 * 1024 * 1024,
};

interface Usage {
  records: number;
  bytes: number;
}

/**
 * Stores records within bounds. A full store refuses new keys; it never evicts
 * a record early, because the operation could then run a second time.
 */
export class OperationRecords {
  private readonly records = new Map<string, OperationRecord>();
  private readonly chargedBytes = new Map<string, number>();
  private readonly usageByCustomer = new Map<string, Usage>();
  private readonly total: Usage = {records: 0, bytes: 0};
  private readonly idleListeners = new Set<() => void>();
  private running = 0;
  private accepting = true;
  private sealed = false;
  private lastSweepAtMs = 0;

  constructor(
    private readonly clock: ExpiryClock,
    private readonly bounds: RecordBounds = defaultRecordBounds,
  ) {}

  /**
   * Finds or creates the record of a key and reserves memory for an attempt.
   * Refusals have the outcome `notRun`, except for an expired prefix without a
   * record: the record may have been dropped after the operation ran.
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
    const reservedBytes =
      bodyBytes + Math.ceil(maxOperationAnswerBytes * base64ExpansionRatio);
    if (!this.hasCapacity(identity, known ? 0 : 1, reservedBytes)) {
      return err(buildFullRefusal());
    }
    const record = known ?? this.create(identity);
    this.charge(record, record.computeBytes() + reservedBytes);
    return ok(record);
  }

  /** Releases what `open` reserved, unless an attempt is in progress. */
  refreshCharge(record: OperationRecord): void {
    if (!record.isRunning()) this.charge(record, record.computeBytes());
  }

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
    if (!this.hasTotalCapacity(1, bytes)) return err(buildFullRefusal());
    const record = this.create(identity);
    if (result) record.adoptResult(result);
    return ok(undefined);
  }

  /** Refuses new attempts from now on; those in progress continue. */
  stopAccepting(): void {
    this.accepting = false;
  }

  /** Ends all attempts; nothing is dispatched from this store afterwards. */
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

  listByIssuer(issuer: string): OperationRecord[] {
    return [...this.records.values()].filter(
      record => record.identity.issuer === issuer,
    );
  }

  /** Resolves when no attempt is in progress, or when the signal aborts. */
  async waitUntilIdle(signal: AbortSignal): Promise<void> {
    if (this.running === 0 || signal.aborted) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        this.idleListeners.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.idleListeners.add(finish);
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
        this.updateRunningCount(wasRunning, running);
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

  private updateRunningCount(before: boolean, after: boolean): void {
    this.running += Number(after) - Number(before);
    if (this.running > 0) return;
    for (const listener of [...this.idleListeners]) listener();
  }

  /** Drops records past their retention, unless an attempt is in progress. */
  private dropExpired(): void {
    const nowMs = this.clock.getNowMs();
    const sweepDue = nowMs - this.lastSweepAtMs >= sweepIntervalMs;
    if (!sweepDue && this.total.records < this.bounds.maxRecords) return;
    this.lastSweepAtMs = nowMs;
    for (const [key, record] of this.records) {
      if (record.isRunning()) continue;
      if (nowMs < record.identity.expiresAtMs + retentionMs) continue;
      this.charge(record, 0);
      this.chargedBytes.delete(key);
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
    const change = bytes - (this.chargedBytes.get(operationKey) ?? 0);
    this.chargedBytes.set(operationKey, bytes);
    this.getUsage(customerId).bytes += change;
    this.total.bytes += change;
  }

  private hasCapacity(
    {customerId}: OperationIdentity,
    records: number,
    bytes: number,
  ): boolean {
    const usage = this.usageByCustomer.get(customerId);
    const {maxRecords, maxBytes} = this.bounds;
    const withinShare =
      (usage?.records ?? 0) + records <= maxRecords * maxCustomerRatio &&
      (usage?.bytes ?? 0) + bytes <= maxBytes * maxCustomerRatio;
    return withinShare && this.hasTotalCapacity(records, bytes);
  }

  private hasTotalCapacity(records: number, bytes: number): boolean {
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
