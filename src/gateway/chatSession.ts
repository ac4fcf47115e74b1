/** One caller's chat request, over all attempts that it takes. */
import {err, ok, type Result} from 'neverthrow';
import {BackendServerKind} from '../config/configuration.js';
import type {ChatChunk, ChatRequest} from '../protocol/callerApi.js';
import {computePrefixDigest, type EngineChunk} from '../protocol/engineApi.js';
import {waitFor} from '../node/delay.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {AttemptRace, type EndedAttempt} from './attemptRace.js';
import {AttemptRecorder} from './attemptRecorder.js';
import {AttemptTimes} from './attemptTimes.js';
import {ChatAttempt} from './chatAttempt.js';
import type {ChatParts} from './chatParts.js';
import {computeFingerprint} from './crashSuspects.js';
import {AttemptEndKind, type AttemptEnd} from './engineStream.js';
import {Waste} from './gatewayMetrics.js';
import type {AcquireOptions, Lease} from './lease.js';
import {OutcomeTracker} from './outcomeTracker.js';
import type {RequestContext} from './requestContext.js';
import {ServerFailures} from './serverFailures.js';
import {SessionEnding} from './sessionEnding.js';
import {describeEnding, isTransient} from './sessionRules.js';

/** Most attempts of one request, the first included. */
const maxAttempts = 8;
const retryAfterMs = 1_000;
/**
 * Time from a broken connection until the marks of a crash are known here. A
 * dispatcher collects the signs of a crash for 500 ms at most.
 */
const crashVerdictMs = 600;
/** Broken attempts after which a request waits for the marks. */
const brokenAttemptsBeforeVerdict = 2;

/** Takes the chunks of the answer; rejects when the caller is gone. */
export type ChatChunkHandler = (chunk: ChatChunk) => Promise<void>;

/** Gets one whole answer, from as many attempts as it takes. */
export class ChatSession {
  private readonly tracker = new OutcomeTracker();
  private readonly failures = new ServerFailures();
  private readonly ending: SessionEnding;
  private readonly fingerprint: string;
  private readonly prefixDigest: string;
  /** Times as the caller sees them. */
  private readonly times: AttemptTimes;
  private readonly recorder: AttemptRecorder;
  private race: AttemptRace | undefined;
  private attempts = 0;
  /** Attempts whose connection broke, perhaps because the server crashed. */
  private brokenAttempts = 0;
  /** Chunks that the caller holds: the index of the token that is due. */
  private passedOn = 0;

  constructor(
    private readonly parts: ChatParts,
    private readonly context: RequestContext,
    private readonly request: ChatRequest,
    private readonly onChunk: ChatChunkHandler,
  ) {
    this.ending = new SessionEnding(context);
    this.fingerprint = computeFingerprint(context.customerId, request);
    this.prefixDigest = computePrefixDigest(request.messages);
    this.times = new AttemptTimes(context.arrivedAtMs);
    const {className} = context;
    this.recorder = new AttemptRecorder(parts, className, request.model);
  }

  /** Serves the request; succeeds when the caller holds the whole answer. */
  async run(): Promise<Result<void, Refusal>> {
    const {metrics, retries, hedges} = this.parts;
    retries.refill();
    hedges.noteRequest();
    try {
      const result = await this.serve();
      if (result.isOk()) {
        const {firstTokenMs = 0, betweenTokensMs} = this.times;
        metrics.recordAnswer(this.context, {firstTokenMs, betweenTokensMs});
      } else {
        metrics.countRefusal(result.error.reason);
        metrics.countWaste(Waste.Unfinished, this.passedOn);
      }
      return result;
    } finally {
      this.ending.close();
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
      const ended = await this.sendAttempt(lease);
      const {attempt, end} = ended;
      if (end.kind === AttemptEndKind.Complete) {
        this.release(ended);
        return ok();
      }
      if (end.kind === AttemptEndKind.Broken) this.brokenAttempts += 1;
      const tryAgain = this.failures.add(attempt.lease.backendServer, end.kind);
      const refusal = this.chargeRetry(end);
      // A silent connection says nothing against the slot; after all other
      // failures the dispatcher decides whether the request may run there.
      const keepsLease =
        !refusal && tryAgain && end.kind === AttemptEndKind.Silent;
      lease = keepsLease ? attempt.lease : undefined;
      if (!keepsLease) this.release(ended);
      if (refusal) return err(refusal);
    }
  }

  private async acquire(): Promise<Result<Lease, Refusal>> {
    const {leases, suspects, metrics} = this.parts;
    if (this.brokenAttempts >= brokenAttemptsBeforeVerdict) {
      await waitFor(crashVerdictMs, this.ending.signal);
    }
    if (suspects.isGuilty(this.fingerprint)) {
      return err(this.refuseGuilty());
    }
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
    const {fingerprint, prefixDigest} = this;
    return {
      signal: this.ending.signal,
      fingerprint,
      prefixDigest,
      suspectCount: this.countSuspectCrashes(),
    };
  }

  /**
   * Crashes that count against the request. A broken attempt counts before
   * the dispatcher's mark arrives, or all requests of a crash would run side
   * by side again; but never as the second one, which would make it guilty.
   */
  private countSuspectCrashes(): number {
    const marks = this.parts.suspects.countCrashes(this.fingerprint);
    return Math.max(marks, Math.min(this.brokenAttempts, 1));
  }

  private sendAttempt(lease: Lease): Promise<EndedAttempt> {
    const primary = this.createAttempt(lease);
    if (this.attempts > 1) this.parts.metrics.countRetry();
    this.race = new AttemptRace({
      primary,
      hedgeDelayMs: this.computeHedgeDelayMs(),
      acquireHedge: signal => this.acquireHedge(lease, signal),
      noteHedgeWon: () => this.parts.metrics.countHedgeWon(),
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
      connections: this.parts.connections,
      fresh: this.failures.has(lease.backendServer),
      tracker: this.tracker,
      signal: this.ending.signal,
      take: (attempt, chunk) => this.relayChunk(attempt, chunk),
      noteRepeated: () => this.parts.metrics.countWaste(Waste.Repeated, 1),
    });
  }

  /** Only a first attempt is hedged, and never a request that is suspected. */
  private computeHedgeDelayMs(): number | undefined {
    const {suspects, hedges} = this.parts;
    const mayHedge =
      this.attempts === 1 &&
      this.context.requestClass.repeatable &&
      suspects.countCrashes(this.fingerprint) === 0;
    return mayHedge ? hedges.getDelayMs(this.context.className) : undefined;
  }

  private async acquireHedge(
    lease: Lease,
    signal: AbortSignal,
  ): Promise<ChatAttempt | undefined> {
    const {leases, hedges, metrics} = this.parts;
    if (this.ending.reason || !hedges.take()) return undefined;
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
    if (this.ending.reason || !this.race?.acquire(attempt)) {
      const waste = this.ending.reason ? Waste.Unfinished : Waste.Hedge;
      this.parts.metrics.countWaste(waste, 1);
      return false;
    }
    const {token_index: _index, ...rest} = chunk;
    rest.id = this.context.requestId;
    attempt.lease.tokens += 1;
    this.times.noteToken();
    // Noted before the write: one that fails may have reached the caller.
    this.tracker.noteChunkPassedOn();
    this.passedOn += 1;
    try {
      await this.onChunk(rest);
    } catch {
      this.ending.end(RefusalReason.CallerGone);
      return false;
    }
    if (chunk.choices[0].finish_reason !== null) this.tracker.noteComplete();
    return true;
  }

  /** Gives back the slot of an attempt that lost against another one. */
  private dropAttempt(ended: EndedAttempt): void {
    const {attempt, end} = ended;
    if (end.kind !== AttemptEndKind.Aborted) {
      this.failures.add(attempt.lease.backendServer, end.kind);
    }
    this.release(ended);
  }

  private release({attempt, end}: EndedAttempt): void {
    const report = this.recorder.record(attempt, end);
    this.parts.leases.release(attempt.lease, report);
  }

  /** Allows one more attempt, or returns the final refusal. */
  private chargeRetry(end: AttemptEnd): Refusal | undefined {
    const {reason} = this.ending;
    if (reason) return this.refuse(reason, describeEnding(reason));
    const mayRepeat =
      this.context.requestClass.repeatable || !this.tracker.hasWritten();
    const canRetry = isTransient(end) && this.attempts < maxAttempts;
    const message = end.error?.message ?? 'the answer broke off';
    if (!mayRepeat || !canRetry) {
      return this.refuse(RefusalReason.BackendServerFailed, message);
    }
    if (!this.parts.retries.take()) {
      return this.refuse(RefusalReason.RetryBudgetSpent, message);
    }
    this.context.log.noteDebug('attempt failed', {
      attempt: this.attempts,
      end: end.kind,
      passedOn: this.passedOn,
      error: message,
    });
    return undefined;
  }

  private refuseGuilty(): Refusal {
    return new Refusal(
      RefusalReason.RequestCrashesServers,
      this.tracker.decide(),
      'backend servers crashed while they ran this request',
      {retryAfterMs: this.parts.suspects.getRemainingMs?.(this.fingerprint)},
    );
  }

  private refuse(reason: RefusalReason, message: string): Refusal {
    const canRepeat =
      reason !== RefusalReason.CallerGone &&
      this.context.requestClass.repeatable;
    return new Refusal(reason, this.tracker.decide(), message, {
      ...(canRepeat ? {retryAfterMs} : {}),
    });
  }
}
