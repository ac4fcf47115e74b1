/** Forwards a caller's request to backend servers, with retries. */
import {waitFor} from '../node/delay.js';
import type {RequestBudget} from '../node/requestBudget.js';
import {assertNever} from '../protocol/assertNever.js';
import {DeadlineError} from '../protocol/errors.js';
import {
  AttemptKind,
  type AttemptResult,
  type StreamListener,
} from './backendAttempt.js';
import {BreakCause} from './breakCause.js';
import {VerdictKind, type Verdict} from './crashQuarantine.js';
import {computeCompactKey} from './compactKey.js';
import {isStaleConnection} from './connectionReuse.js';
import {formatProcess, RouteKind} from './deployment.js';
import {suspectCrash} from './crashSuspicion.js';
import {describeBlock} from './describeBlock.js';
import type {ForwardedRequest} from './forwardedRequest.js';
import type {RequestForwarderOptions} from './forwarderOptions.js';
import {computeLimitWaitMs} from './limitWait.js';
import {
  AdmissionDecision,
  computeCallerTimeoutMs,
  decideAdmission,
  recheckIntervalMs,
} from './promptAdmission.js';
import {RequestFailure} from './requestFailure.js';
import {RequestLog} from './requestLog.js';
import {computeRequestKey} from './requestKey.js';
import {RetryCause} from './routerMetrics.js';
import {SentAttempt} from './sentAttempt.js';
import type {Selection, SelectionRequest} from './serverSelector.js';

/** Time before the deadline, in milliseconds, below which no attempt starts. */
const minRemainingMs = 40;
/**
 * Attempts of one request, including those that did not run. An attempt that
 * reaches no server doesn't count, unless an earlier one of this router had just
 * shown that the server accepts no connections.
 */
const maxSends = 6;
/** Cost of a failure that can be retried, in milliseconds of waiting. */
const retryableFailureCostMs = 250;
/** Cost of a failure that is passed on to the caller, in milliseconds. */
const finalFailureCostMs = 600;
/** Answers with this status or a higher one count as server failures. */
const minServerErrorStatus = 500;

/** Selects a server for each attempt and decides whether to retry. */
export class RequestForwarder {
  constructor(private readonly options: RequestForwarderOptions) {}

  /** Answers the caller; never throws for a failure of a backend server. */
  async forward(request: ForwardedRequest): Promise<void> {
    await new Forwarding(this.options, request).run();
  }
}

/** State of one request from its first attempt to its answer. */
class Forwarding implements StreamListener {
  private readonly deadlineMs: number;
  private readonly deadlineAtMs: number;
  private readonly isRetryable: boolean;
  private readonly requestKey: number;
  /** Compact keys of the prompt's parts without the request's own, the last. */
  private readonly sharedParts: readonly number[];
  /** Servers at which an attempt failed; selected again as a last resort. */
  private readonly failed = new Set<string>();
  /** Servers that refused the request or could not be reached. */
  private readonly excluded = new Set<string>();
  private readonly budget: RequestBudget;
  /** Attempts that count towards `maxSends`. */
  private countedSends = 0;
  /** Failed attempts that may have run. */
  private runs = 0;
  /** True once this request tests whether a suspect crashes servers. */
  private isProbe = false;
  /** Id of the last event that was sent to the caller. */
  private lastEventId: number | undefined;
  /** The attempt that was started last. */
  private lastAttempt: SentAttempt | undefined;
  private readonly log: RequestLog;
  private readonly failure: RequestFailure;

  constructor(
    private readonly options: RequestForwarderOptions,
    private readonly request: ForwardedRequest,
  ) {
    const {exchange, route, customer, body} = request;
    const waitMs = Math.min(
      exchange.request.deadlineMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    this.deadlineMs = waitMs;
    this.deadlineAtMs = exchange.startedAtMs + waitMs;
    this.isRetryable =
      route.kind === RouteKind.Idempotent ||
      (route.kind === RouteKind.Stream && route.isResumable);
    this.lastEventId = exchange.request.lastEventId;
    this.log = new RequestLog(options, request);
    this.sharedParts = exchange.request.promptParts
      .slice(0, -1)
      .map(({id}) => computeCompactKey(id));
    const path = exchange.incoming.url ?? '';
    this.requestKey = computeRequestKey(path, customer, body);
    this.budget = options.budgets.get(request.service);
    this.budget.refill();
    const {log, budget} = this;
    const {selector} = options;
    this.failure = new RequestFailure({request, selector, log, budget});
  }

  async run(): Promise<void> {
    const {exchange} = this.request;
    for (;;) {
      if (exchange.signal.aborted) {
        if (!exchange.isGivenUp) this.log.recordCallerGone();
        return;
      }
      const verdict = this.checkQuarantine();
      if (verdict.kind === VerdictKind.Blocked) {
        const {suspect, crashes, retryAfterMs} = verdict;
        const message = describeBlock(suspect, crashes);
        const cause = BreakCause.Quarantined;
        this.failure.failUnsent(cause, this.runs > 0, message, retryAfterMs);
        return;
      }
      const selection = this.select();
      if (!selection) {
        const waitMs = this.measureLimitWaitMs();
        if (waitMs === undefined) {
          const cause = this.explainMissingServer();
          this.failure.failWithoutServer(cause, this.runs > 0);
          return;
        }
        await waitFor(waitMs, exchange.signal);
        continue;
      }
      if (this.shouldHold(selection)) {
        // Jitter keeps routers that hold prompts from sending all at once.
        const delayMs = recheckIntervalMs * (0.5 + Math.random());
        await waitFor(delayMs, exchange.signal);
        continue;
      }
      if (verdict.kind === VerdictKind.Probe) {
        this.isProbe = true;
        this.options.quarantine.recordProbe(verdict.suspect);
        this.log.recordEvent('probing a suspect', selection, verdict.suspect);
      }
      const attempt = this.send(selection);
      const result = await attempt.supervise({
        canRetry: () => this.canRetry(),
      });
      if (this.settle(attempt, result)) return;
      this.log.recordSendEnd();
    }
  }

  /** A probe goes on until a server runs it. */
  private checkQuarantine(): Verdict {
    return this.isProbe
      ? {kind: VerdictKind.Clear}
      : this.options.quarantine.check([...this.sharedParts, this.requestKey]);
  }

  receiveHead(status: number, headers: string[]): void {
    const {exchange} = this.request;
    if (!exchange.isHeadSent) exchange.startStream(status, headers);
  }

  receiveEvents(
    events: Parameters<StreamListener['receiveEvents']>[0],
    resume: () => void,
  ): boolean {
    this.log.progress.recordEvents();
    const after = this.lastEventId ?? -Infinity;
    const newEvents = events.filter(({id}) => id === undefined || id > after);
    if (newEvents.length === 0) return true;
    for (const {id} of newEvents) this.lastEventId = id ?? this.lastEventId;
    return this.request.exchange.sendEvents(newEvents, resume);
  }

  private get remainingMs(): number {
    return this.deadlineAtMs - performance.now();
  }

  /** True for a long prompt that must yield to others. */
  private shouldHold(selection: Selection): boolean {
    const {exchange, route} = this.request;
    if (selection.isShortPrompt) return false;
    const decision = decideAdmission({
      waitedMs: performance.now() - exchange.startedAtMs,
      expectedMs: selection.expectedMs,
      backlogMs: selection.backlogMs,
      targetMs: route.targetMs,
      callerTimeoutMs: computeCallerTimeoutMs(route, this.deadlineMs),
    });
    if (decision === AdmissionDecision.Hold && !this.lastAttempt?.hasEvents) {
      return true;
    }
    this.log.admission = decision;
    return false;
  }

  private select(): Selection | undefined {
    return this.canSend
      ? this.options.selector.select(this.buildSelectionRequest())
      : undefined;
  }

  private get canSend(): boolean {
    return this.countedSends < maxSends && this.remainingMs >= minRemainingMs;
  }

  /** Tells why no server can be selected for the request. */
  private explainMissingServer(): BreakCause {
    if (this.remainingMs < minRemainingMs) return BreakCause.Deadline;
    return this.countedSends < maxSends
      ? BreakCause.NoServerLeft
      : BreakCause.SendLimit;
  }

  /**
   * Time until a server whose limit is used up takes the request, in
   * milliseconds; undefined if that is too late for the target.
   */
  private measureLimitWaitMs(): number | undefined {
    const {route} = this.request;
    const {limits} = this.options;
    const hasEvents = this.lastAttempt?.hasEvents ?? false;
    if (limits.isEmpty || !this.canSend || hasEvents) return undefined;
    const request = this.buildSelectionRequest();
    return computeLimitWaitMs({
      waitMs: this.options.selector.measureLimitWaitMs(request),
      waitedMs: request.waitedMs,
      targetMs: route.targetMs,
      remainingMs: this.remainingMs - minRemainingMs,
    });
  }

  private buildSelectionRequest(): SelectionRequest {
    const {exchange, service, body} = this.request;
    const {promptParts, promptTokens} = exchange.request;
    return {
      service,
      failed: this.failed,
      excluded: this.excluded,
      promptParts,
      promptTokens,
      bodyBytes: body.length,
      maxPauseMs: this.request.route.maxPauseMs,
      rank: this.request.urgency,
      targetMs: this.request.route.targetMs,
      waitedMs: performance.now() - exchange.startedAtMs,
      failureCostMs: this.isRetryable
        ? retryableFailureCostMs
        : finalFailureCostMs,
    };
  }

  private send(selection: Selection): SentAttempt {
    const {exchange, route} = this.request;
    this.log.recordSend();
    exchange.mayHaveRun = true;
    const {lastEventId} = this;
    const attempt = new SentAttempt(
      {
        components: this.options,
        request: this.request,
        selection,
        sharedParts: this.sharedParts,
        isRetryable: this.isRetryable,
        resumesAfter:
          lastEventId === exchange.request.lastEventId
            ? undefined
            : lastEventId,
        remainingMs: this.remainingMs,
      },
      this,
    );
    this.lastAttempt = attempt;
    if (this.log.sends === 1) {
      const waitMs = attempt.sentAtMs - exchange.startedAtMs;
      this.options.metrics.recordWait(route.name, waitMs);
    }
    return attempt;
  }

  /** True when another server may run the request if this attempt fails. */
  private canRetry(): boolean {
    return (
      this.isRetryable &&
      !this.isProbe &&
      this.runs + 1 < this.request.route.maxServers &&
      this.remainingMs > minRemainingMs &&
      this.budget.describe() >= 1
    );
  }

  /**
   * Handles the result of an attempt; true when the request is finished, false
   * when it needs another attempt.
   */
  private settle(attempt: SentAttempt, result: AttemptResult): boolean {
    const {exchange, service} = this.request;
    const {selection} = attempt;
    const {outcomes, selector, directory, quarantine, metrics} = this.options;
    const {id} = selection.server;
    const isReached = result.kind !== AttemptKind.Unreachable;
    if (isReached || attempt.wasUnreachable) this.countedSends += 1;
    if (!isReached) this.log.unreached += 1;
    // A faulty server may answer with an error what crashes the others.
    const isInnocent =
      result.kind === AttemptKind.Streamed ||
      (result.kind === AttemptKind.Answered &&
        result.status < minServerErrorStatus);
    if (isInnocent) quarantine.recordAnswer(this.requestKey);
    if (exchange.signal.aborted) {
      const event = exchange.isGivenUp ? 'given up' : 'caller gone';
      this.log.recordEvent(event, selection);
      return true;
    }
    switch (result.kind) {
      case AttemptKind.Answered: {
        const {status, headers, body, answer} = result;
        const {load} = answer;
        if (load) outcomes.recordSlowness(id, load.slowness);
        if (status < minServerErrorStatus) {
          outcomes.recordAnswer(id);
          selector.recordServiceTime(
            service,
            performance.now() - attempt.sentAtMs,
          );
        } else {
          outcomes.recordFailure(id);
          if (this.retry(selection, `status ${status}`)) return false;
        }
        if (exchange.isHeadSent) exchange.abortStream(BreakCause.ServerFailed);
        else exchange.sendAnswer(status, headers, body);
        this.log.recordAnswer(selection, status);
        return true;
      }
      case AttemptKind.Streamed:
        outcomes.recordAnswer(id);
        exchange.endStream();
        this.log.recordAnswer(selection, 200);
        return true;
      case AttemptKind.NotRun:
        exchange.mayHaveRun = this.runs > 0;
        if (result.load) outcomes.recordSlowness(id, result.load.slowness);
        if (result.isOtherProcess) {
          directory.removeProcess(
            computeCompactKey(formatProcess(selection.server)),
          );
        }
        if (result.retryAfterMs === undefined) outcomes.recordUnwilling(id);
        else outcomes.recordBackoff(id, result.retryAfterMs);
        this.excluded.add(id);
        if (this.budget.take()) {
          metrics.countRetry(service, RetryCause.NotRun);
          this.log.recordEvent('not run, retrying', selection, result.status);
          return false;
        }
        this.log.recordSendEnd();
        this.failure.failWithoutServer(BreakCause.RetryBudget, this.runs > 0);
        return true;
      case AttemptKind.Unreachable:
        exchange.mayHaveRun = this.runs > 0;
        outcomes.recordUnreachable(id);
        this.excluded.add(id);
        metrics.countRetry(service, RetryCause.Unreachable);
        this.log.recordEvent(
          'server unreachable',
          selection,
          result.error.message,
        );
        return false;
      case AttemptKind.Broken:
        if (
          isStaleConnection({
            isUnanswered: result.isUnanswered,
            idleMs: attempt.connectionIdleMs,
            elapsedMs: performance.now() - attempt.sentAtMs,
          })
        ) {
          this.options.idleReuse.record(service);
          this.log.recordEvent(
            'stale connection',
            selection,
            attempt.connectionIdleMs,
          );
        } else {
          outcomes.recordFailure(id);
        }
        if (!(result.error instanceof DeadlineError)) {
          const {requestKey: request, sharedParts} = this;
          const isAnswerLost = result.isConnectionLost && !attempt.hasEvents;
          const parts = isAnswerLost ? sharedParts : [];
          suspectCrash(this.options, id, {request, parts});
        }
        if (this.retry(selection, result.error.message)) return false;
        this.failure.fail(selection, result.error);
        return true;
      default:
        return assertNever(result);
    }
  }

  private retry(selection: Selection, cause: string): boolean {
    if (!this.canRetry()) {
      this.runs += 1;
      return false;
    }
    this.runs += 1;
    this.failed.add(selection.server.id);
    this.budget.take();
    const {service} = this.request;
    this.options.metrics.countRetry(service, RetryCause.Failed);
    this.log.recordEvent('attempt failed, retrying', selection, cause);
    return true;
  }
}
