/** Serves one chat request, with retries and hedging. */
import {err, ok, type Result} from 'neverthrow';
import {BackendServerKind} from '../config/configuration.js';
import type {ChatChunk, ChatRequest} from '../protocol/callerApi.js';
import {computePrefixDigest, type EngineChunk} from '../protocol/engineApi.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {AttemptRace, type EndedAttempt} from './attemptRace.js';
import {AttemptRecorder} from './attemptRecorder.js';
import {AttemptTimes} from './attemptTimes.js';
import {ChatAttempt} from './chatAttempt.js';
import type {ChatDependencies} from './chatDependencies.js';
import {computeFingerprint} from './crashSuspects.js';
import {AttemptEndKind, type AttemptEnd} from './engineStream.js';
import {WasteReason} from './gatewayMetrics.js';
import type {AcquireOptions, Lease} from './lease.js';
import {OutcomeTracker} from './outcomeTracker.js';
import type {RequestContext} from './requestContext.js';
import {RequestSuspicion} from './requestSuspicion.js';
import {ServerFailures} from './serverFailures.js';
import {SessionCancellation} from './sessionCancellation.js';
import {describeCancellation, isTransient} from './sessionRules.js';

/** Limit of attempts per request, including the first. */
const maxAttempts = 8;
const retryAfterMs = 1_000;
/** Receives the chunks of the answer; rejects when the caller disconnected. */
export type ChatChunkHandler = (chunk: ChatChunk) => Promise<void>;

/**
 * Produces one complete answer; after a failed attempt, the next one resumes
 * it.
 */
export class ChatSession {
  private readonly tracker = new OutcomeTracker();
  private readonly failures = new ServerFailures();
  private readonly cancellation: SessionCancellation;
  private readonly suspicion: RequestSuspicion;
  private readonly prefixDigest: string;
  /** Token times as the caller sees them, from the arrival of the request. */
  private readonly times: AttemptTimes;
  private readonly recorder: AttemptRecorder;
  private race: AttemptRace | undefined;
  private attempts = 0;
  /**
   * Number of chunks relayed to the caller, and so the index of the next token.
   */
  private passedOn = 0;

  constructor(
    private readonly dependencies: ChatDependencies,
    private readonly context: RequestContext,
    private readonly request: ChatRequest,
    private readonly onChunk: ChatChunkHandler,
  ) {
    this.cancellation = new SessionCancellation(context);
    this.suspicion = new RequestSuspicion(
      dependencies.suspects,
      computeFingerprint(context.customerId, request),
    );
    this.prefixDigest = computePrefixDigest(request.messages);
    this.times = new AttemptTimes(context.arrivedAtMs);
    const {className} = context;
    this.recorder = new AttemptRecorder(dependencies, className, request.model);
  }

  /** Serves the request; succeeds when the caller has the complete answer. */
  async run(): Promise<Result<void, Refusal>> {
    const {metrics, retries, hedges} = this.dependencies;
    retries.refill();
    hedges.noteRequest();
    try {
      const result = await this.serve();
      if (result.isOk()) {
        const {firstTokenMs = 0, betweenTokensMs} = this.times;
        metrics.recordAnswer(this.context, {firstTokenMs, betweenTokensMs});
      } else {
        metrics.countRefusal(result.error.reason);
        metrics.countWaste(WasteReason.Unfinished, this.passedOn);
      }
      return result;
    } finally {
      this.cancellation.close();
    }
  }

  private async serve(): Promise<Result<void, Refusal>> {
    let lease: Lease | undefined;
    for (;;) {
      if (!lease) {
        const acquired = await this.acquire();
        if (acquired.isErr()) return err(acquired.error);
        lease = acquired.value;
      }
      const ended = await this.runAttempt(lease);
      const {attempt, end} = ended;
      if (end.kind === AttemptEndKind.Complete) {
        this.release(ended);
        return ok();
      }
      if (end.kind === AttemptEndKind.Broken) this.suspicion.noteBroken();
      const retrySameServer = this.failures.add(
        attempt.lease.backendServer,
        end.kind,
      );
      const refusal = this.chargeRetry(end);
      // A silent connection doesn't mean that the server failed, so the slot is
      // kept. After all other failures the lease is released, and the
      // dispatcher decides whether the request may run there again.
      const keepsLease =
        !refusal && retrySameServer && end.kind === AttemptEndKind.Silent;
      lease = keepsLease ? attempt.lease : undefined;
      if (!keepsLease) this.release(ended);
      if (refusal) return err(refusal);
    }
  }

  private async acquire(): Promise<Result<Lease, Refusal>> {
    const {leases, metrics} = this.dependencies;
    await this.suspicion.waitForMarks(this.cancellation.signal);
    if (this.suspicion.isBlocked()) return err(this.buildCrashRefusal());
    const startedAtMs = performance.now();
    const acquired = await leases.acquire(
      this.context,
      {kind: BackendServerKind.ModelEngine, model: this.request.model},
      {
        ...this.buildAcquireOptions(),
        prefer: this.failures.getPreferred(),
        avoid: this.failures.getAvoided(),
        resumed: this.passedOn > 0,
      },
    );
    if (acquired.isOk()) {
      this.tracker.noteLeaseGranted();
      const waitMs = performance.now() - startedAtMs;
      metrics.recordQueueWait(this.context.className, waitMs);
    }
    return acquired.mapErr(
      ({reason, message, retryAfterMs: afterMs}) =>
        new Refusal(reason, this.tracker.decide(), message, {
          ...(afterMs === undefined ? {} : {retryAfterMs: afterMs}),
        }),
    );
  }

  private buildAcquireOptions(): AcquireOptions {
    const {suspicion, prefixDigest} = this;
    return {
      signal: this.cancellation.signal,
      fingerprint: suspicion.fingerprint,
      prefixDigest,
      suspectCount: suspicion.countCrashes(),
    };
  }

  private runAttempt(lease: Lease): Promise<EndedAttempt> {
    const primary = this.createAttempt(lease);
    if (this.attempts > 1) this.dependencies.metrics.countRetry();
    this.race = new AttemptRace({
      primary,
      hedgeDelayMs: this.computeHedgeDelayMs(),
      acquireHedge: signal => this.acquireHedge(lease, signal),
      countHedgeWon: () => this.dependencies.metrics.countHedgeWon(),
      drop: ended => this.dropAttempt(ended),
    });
    return this.race.run();
  }

  private createAttempt(lease: Lease): ChatAttempt {
    this.attempts += 1;
    return new ChatAttempt({
      context: this.context,
      request: this.request,
      lease,
      number: this.attempts,
      resumeFrom: this.passedOn,
      connections: this.dependencies.connections,
      useNewConnection: this.failures.has(lease.backendServer),
      tracker: this.tracker,
      signal: this.cancellation.signal,
      onChunk: (attempt, chunk) => this.relayChunk(attempt, chunk),
      onRepeatedToken: () =>
        this.dependencies.metrics.countWaste(WasteReason.Repeated, 1),
    });
  }

  /** Only the first attempt is hedged, and never a crash suspect. */
  private computeHedgeDelayMs(): number | undefined {
    const {hedges} = this.dependencies;
    const mayHedge =
      this.attempts === 1 &&
      this.context.requestClass.repeatable &&
      this.suspicion.countCrashes() === 0;
    return mayHedge ? hedges.getDelayMs(this.context.className) : undefined;
  }

  private async acquireHedge(
    lease: Lease,
    signal: AbortSignal,
  ): Promise<ChatAttempt | undefined> {
    const {leases, hedges, metrics} = this.dependencies;
    if (this.cancellation.reason || !hedges.take()) return undefined;
    const acquired = await leases.acquire(
      this.context,
      {kind: BackendServerKind.ModelEngine, model: this.request.model},
      {
        ...this.buildAcquireOptions(),
        signal,
        avoid: new Set([lease.backendServer]),
        immediateOnly: true,
      },
    );
    if (acquired.isErr()) {
      hedges.giveBack();
      return undefined;
    }
    metrics.countHedge();
    return this.createAttempt(acquired.value);
  }

  private async relayChunk(
    attempt: ChatAttempt,
    chunk: EngineChunk,
  ): Promise<boolean> {
    if (this.cancellation.reason || !this.race?.acquire(attempt)) {
      const wasteReason = this.cancellation.reason
        ? WasteReason.Unfinished
        : WasteReason.Hedge;
      this.dependencies.metrics.countWaste(wasteReason, 1);
      return false;
    }
    const {token_index: _index, ...rest} = chunk;
    rest.id = this.context.requestId;
    attempt.lease.tokens += 1;
    this.times.noteToken();
    // Recorded before the write, because a failed write may still have reached
    // the caller.
    this.tracker.noteChunkRelayed();
    this.passedOn += 1;
    try {
      await this.onChunk(rest);
    } catch {
      this.cancellation.end(RefusalReason.CallerGone);
      return false;
    }
    if (chunk.choices[0].finish_reason !== null) this.tracker.noteComplete();
    return true;
  }

  /** Releases the slot of an attempt that lost the race. */
  private dropAttempt(ended: EndedAttempt): void {
    const {attempt, end} = ended;
    if (end.kind !== AttemptEndKind.Aborted) {
      this.failures.add(attempt.lease.backendServer, end.kind);
    }
    this.release(ended);
  }

  private release({attempt, end}: EndedAttempt): void {
    const report = this.recorder.record(attempt, end);
    this.dependencies.leases.release(attempt.lease, report);
  }

  /**
   * Charges the retry budget for one more attempt, or returns the final
   * refusal.
   */
  private chargeRetry(end: AttemptEnd): Refusal | undefined {
    const {reason} = this.cancellation;
    if (reason) return this.buildRefusal(reason, describeCancellation(reason));
    const mayRepeat =
      this.context.requestClass.repeatable || !this.tracker.hasWritten();
    const canRetry = isTransient(end) && this.attempts < maxAttempts;
    const message = end.error?.message ?? 'the answer broke off';
    if (!mayRepeat || !canRetry) {
      return this.buildRefusal(RefusalReason.BackendServerFailed, message);
    }
    if (!this.dependencies.retries.take()) {
      return this.buildRefusal(RefusalReason.RetryBudgetSpent, message);
    }
    this.context.log.logDebug('attempt failed', {
      attempt: this.attempts,
      end: end.kind,
      passedOn: this.passedOn,
      error: message,
    });
    return undefined;
  }

  private buildCrashRefusal(): Refusal {
    return new Refusal(
      RefusalReason.RequestCrashesServers,
      this.tracker.decide(),
      'backend servers crashed while they ran this request',
      {retryAfterMs: this.suspicion.getRemainingMs()},
    );
  }

  private buildRefusal(reason: RefusalReason, message: string): Refusal {
    const canRepeat =
      reason !== RefusalReason.CallerGone &&
      this.context.requestClass.repeatable;
    return new Refusal(reason, this.tracker.decide(), message, {
      ...(canRepeat ? {retryAfterMs} : {}),
    });
  }
}
