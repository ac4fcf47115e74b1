/** Forwards a caller's request to backend servers, with retries. */
import {waitFor} from '../node/delay.js';
import type {RequestBudget} from '../node/requestBudget.js';
import {assertNever} from '../protocol/assertNever.js';
import {DeadlineError, SilentConnectionError} from '../protocol/errors.js';
import {AttemptsInProgress, type EndedAttempt} from './attemptsInProgress.js';
import {
  AttemptKind,
  type AttemptResult,
  type StreamListener,
} from './backendAttempt.js';
import {BreakCause} from './breakCause.js';
import {VerdictKind, type Verdict} from './crashQuarantine.js';
import {computeCompactKey} from './compactKey.js';
import {isStaleConnection} from './connectionReuse.js';
import {formatProcess, RouteKind, type BackendServer} from './deployment.js';
import {isAcquittal, suspectCrash} from './crashSuspicion.js';
import {describeBlock} from './describeBlock.js';
import type {ForwardedRequest} from './forwardedRequest.js';
import type {RequestForwarderOptions} from './forwarderOptions.js';
import {computeLimitWaitMs} from './limitWait.js';
import {HoldQueues} from './holdQueue.js';
import {AdmissionDecision} from './promptAdmission.js';
import {RequestAdmission} from './requestAdmission.js';
import {getFailureCostMs, RequestFailure} from './requestFailure.js';
import {RequestLog} from './requestLog.js';
import {RequestShare} from './requestShare.js';
import {computeRequestKey, computeSharedPartKeys} from './requestKey.js';
import {recordRestartSigns} from './restartSigns.js';
import {RetryCause} from './routerMetrics.js';
import {minRemainingMs, SendLimit} from './sendLimit.js';
import {SentAttempt, type AttemptListener} from './sentAttempt.js';
import type {Selection, SelectionRequest} from './selection.js';
import {recordAttemptEnd} from './slowStartSigns.js';

/** Selects a server for each attempt and decides whether to retry. */
export class RequestForwarder {
  private readonly holdQueues: HoldQueues;

  constructor(private readonly options: RequestForwarderOptions) {
    this.holdQueues = new HoldQueues(options.shares);
    options.loads.watch(addedWork => {
      if (addedWork === 0) this.holdQueues.wakeNext();
    });
  }

  /** Answers the caller; never throws for a failure of a backend server. */
  async forward(request: ForwardedRequest): Promise<void> {
    await new Forwarding(this.options, request, this.holdQueues).run();
  }
}

/** State of one request from its first attempt to its answer. */
class Forwarding implements AttemptListener {
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
  private readonly sendLimit = new SendLimit();
  /** Failed attempts that may have run. */
  private runs = 0;
  /** True once this request tests whether a suspect crashes servers. */
  private isProbe = false;
  /** Id of the last event that was sent to the caller. */
  private lastEventId: number | undefined;
  /** The attempt that was started last. */
  private lastAttempt: SentAttempt | undefined;
  private readonly attempts = new AttemptsInProgress(lost =>
    this.recordLoss(lost),
  );
  private readonly share: RequestShare;
  private readonly log: RequestLog;
  private readonly failure: RequestFailure;
  private readonly admission: RequestAdmission;

  constructor(
    private readonly options: RequestForwarderOptions,
    private readonly request: ForwardedRequest,
    holdQueues: HoldQueues,
  ) {
    const {exchange, route, customer, body} = request;
    const waitMs = Math.min(
      exchange.request.deadlineMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    this.deadlineAtMs = exchange.startedAtMs + waitMs;
    this.isRetryable =
      route.kind === RouteKind.Idempotent ||
      (route.kind === RouteKind.Stream && route.isResumable);
    this.lastEventId = exchange.request.lastEventId;
    this.share = new RequestShare(options, request);
    this.log = new RequestLog(options, request, this.share);
    this.sharedParts = computeSharedPartKeys(exchange.request.promptParts);
    const path = exchange.incoming.url ?? '';
    this.requestKey = computeRequestKey(path, customer, body);
    this.budget = options.budgets.get(request.service);
    this.budget.refill();
    const {log, budget, share} = this;
    this.failure = new RequestFailure({
      ...options,
      request,
      log,
      budget,
      share,
    });
    const holdQueue = holdQueues.get(request.service);
    this.admission = new RequestAdmission(request, holdQueue, waitMs, share);
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
          const cause = this.sendLimit.explainMissingServer(this.remainingMs);
          this.failure.failWithoutServer(cause, this.runs > 0);
          return;
        }
        await waitFor(waitMs, exchange.signal);
        continue;
      }
      const decision = this.admission.decide(selection, this);
      if (decision === AdmissionDecision.Hold) {
        await this.admission.wait();
        continue;
      }
      if (decision === AdmissionDecision.Refuse) {
        this.failure.failUntimely(this.admission.estimateReturnMs(selection));
        return;
      }
      this.admission.recordSend(selection);
      this.log.admission = decision;
      if (verdict.kind === VerdictKind.Probe) {
        this.isProbe = true;
        this.options.quarantine.recordProbe(verdict.suspect);
        this.log.recordEvent('probing a suspect', selection, verdict.suspect);
      }
      this.send(selection);
      if (await this.settleAttempts()) return;
    }
  }

  /**
   * Handles the results of all attempts; true when the request is finished,
   * false when it needs another attempt.
   */
  private async settleAttempts(): Promise<boolean> {
    while (this.attempts.size > 0) {
      const {attempt, result} = await this.attempts.waitForEnd();
      if (!this.settle(attempt, result)) continue;
      this.attempts.abortOthers(attempt);
      return true;
    }
    this.log.recordSendEnd();
    return false;
  }

  /** A probe goes on until a server runs it. */
  private checkQuarantine(): Verdict {
    return this.isProbe
      ? {kind: VerdictKind.Clear}
      : this.options.quarantine.check([...this.sharedParts, this.requestKey]);
  }

  /** Passes events on, and ends the other attempt if there is one. */
  receiveEvents(
    attempt: SentAttempt,
    ...[events, resume]: Parameters<StreamListener['receiveEvents']>
  ): boolean {
    // An attempt that was given up may still have events in its buffers.
    if (!this.attempts.has(attempt)) return true;
    this.attempts.abortOthers(attempt);
    this.log.progress.recordEvents();
    const after = this.lastEventId ?? -Infinity;
    const newEvents = events.filter(({id}) => id === undefined || id > after);
    if (newEvents.length === 0) return true;
    for (const {id} of newEvents) this.lastEventId = id ?? this.lastEventId;
    this.startStream(attempt);
    return this.request.exchange.sendEvents(newEvents, resume);
  }

  /** Sets the head of the stream unless an earlier one has been sent. */
  private startStream({head}: SentAttempt): void {
    const {exchange} = this.request;
    if (head && !exchange.isHeadSent) {
      exchange.startStream(head.status, head.headers);
    }
  }

  private get remainingMs(): number {
    return this.deadlineAtMs - performance.now();
  }

  /** True if the caller may have a part of the answer. */
  get hasEvents(): boolean {
    return this.lastAttempt?.hasEvents ?? false;
  }

  private select(
    change: Partial<SelectionRequest> = {},
  ): Selection | undefined {
    const request = {...this.buildSelectionRequest(), ...change};
    return this.canSend ? this.options.selector.select(request) : undefined;
  }

  private get canSend(): boolean {
    return this.sendLimit.canSend(this.remainingMs);
  }

  /**
   * Time until a server whose limit is used up takes the request, in
   * milliseconds; undefined if that is too late for the target.
   */
  private measureLimitWaitMs(): number | undefined {
    const {route} = this.request;
    const {limits, pace} = this.options;
    const isOpen = limits.isEmpty && !pace.hasCold();
    if (isOpen || !this.canSend || this.hasEvents) return;
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
      failureCostMs: getFailureCostMs(this.isRetryable),
    };
  }

  /** Starts an attempt. */
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
        share: this.share,
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
    const result = attempt.supervise({
      handleSilence: () => this.sendBeside(),
    });
    this.attempts.add(attempt, result);
    return attempt;
  }

  /**
   * Sends the request to another server beside a silent attempt, which goes on
   * until the other server has taken the request: if that refuses it, the silent
   * one is all that is left.
   */
  private sendBeside(): void {
    const silent = this.attempts.only;
    if (!silent) return;
    const isResumption = silent.hasEvents;
    // Events without ids can't be told from those that the caller has.
    if (isResumption && this.lastEventId === undefined) return;
    // Servers that refused the request show that there are others, but full.
    const canRepeat = isResumption && this.excluded.size === 0;
    const selection = this.selectOther(canRepeat);
    if (!selection || !this.budget.take()) return;
    this.countFailedRetry();
    this.attempts.scheduleAbortOfOthers(this.send(selection));
    this.log.recordEvent('sent beside a silent attempt', selection);
  }

  /**
   * Selects a server that may run the request beside the attempt in progress;
   * undefined if none can take it now.
   *
   * @param canRepeat - allows servers that failed it or are silent if there is
   *     no other: the fault may lie in the connection
   */
  private selectOther(canRepeat: boolean): Selection | undefined {
    if (!this.canRetry() || this.request.exchange.signal.aborted) return;
    if (this.checkQuarantine().kind !== VerdictKind.Clear) return;
    const {outcomes} = this.options;
    const used = [...this.failed, ...this.attempts.listServers()];
    const selection = this.select(
      canRepeat
        ? {failed: new Set(used)}
        : {excluded: new Set([...this.excluded, ...used])},
    );
    if (!selection || !this.admission.canSend(selection, this)) return;
    const {id} = selection.server;
    // The selector names these servers only when no other is left.
    return outcomes.isUnwilling(id) || outcomes.isUnreachable(id)
      ? undefined
      : selection;
  }

  /** True when another server may run the request. */
  private canRetry(): boolean {
    return (
      this.isRetryable &&
      !this.isProbe &&
      this.runs + this.attempts.size < this.request.route.maxServers &&
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
    this.countSend(attempt, result);
    if (isAcquittal(result)) quarantine.recordAnswer(this.requestKey);
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
        if (isAcquittal(result)) {
          outcomes.recordAnswer(id);
          const served = attempt.describeServed();
          selector.recordServiceTime(selection, service, served);
        } else {
          outcomes.recordFailure(id);
          if (this.retry(selection, `status ${status}`)) return false;
        }
        if (exchange.isHeadSent) {
          if (this.leaveToOther(selection, `status ${status}`)) return false;
          exchange.abortStream(BreakCause.ServerFailed);
        } else exchange.sendAnswer(status, headers, body);
        this.log.recordAnswer(selection, status);
        return true;
      }
      case AttemptKind.Streamed:
        outcomes.recordAnswer(id);
        this.startStream(attempt);
        exchange.endStream();
        this.log.recordAnswer(selection, 200);
        return true;
      case AttemptKind.NotRun:
        exchange.mayHaveRun = this.mayHaveRun;
        if (result.load) outcomes.recordSlowness(id, result.load.slowness);
        if (result.isOtherProcess) {
          directory.removeProcess(
            computeCompactKey(formatProcess(selection.server)),
          );
        }
        if (result.retryAfterMs === undefined) outcomes.recordUnwilling(id);
        else outcomes.recordBackoff(id, result.retryAfterMs);
        this.excluded.add(id);
        if (this.attempts.size > 0) {
          this.log.recordEvent('not run, waiting', selection, result.status);
          return false;
        }
        if (this.budget.take()) {
          metrics.countRetry(service, RetryCause.NotRun);
          this.log.recordEvent('not run, retrying', selection, result.status);
          return false;
        }
        this.log.recordSendEnd();
        this.failure.failWithoutServer(BreakCause.RetryBudget, this.runs > 0);
        return true;
      case AttemptKind.Unreachable:
        exchange.mayHaveRun = this.mayHaveRun;
        outcomes.recordUnreachable(id);
        this.excluded.add(id);
        // Nothing was sent, so that the next resumption costs no more.
        if (this.attempts.size > 0) this.budget.giveBack();
        else metrics.countRetry(service, RetryCause.Unreachable);
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
          const isAnswerLost = result.isConnectionLost && !attempt.hasEvents;
          const parts = isAnswerLost ? this.sharedParts : [];
          this.suspectCrash(selection.server, parts);
        }
        if (this.retry(selection, result.error.message)) return false;
        this.failure.fail(selection, result.error);
        return true;
      default:
        return assertNever(result);
    }
  }

  private countSend(attempt: SentAttempt, result: AttemptResult) {
    recordRestartSigns(this.options.pace, attempt, result);
    recordAttemptEnd(this.options, attempt, result);
    const {wasUnreachable} = attempt;
    const isReached = result.kind !== AttemptKind.Unreachable;
    this.sendLimit.record({isReached, wasUnreachable});
    if (!isReached) this.log.unreached += 1;
  }

  /** Records that an attempt was given up because another one went on. */
  private recordLoss({attempt, result}: EndedAttempt): void {
    this.countSend(attempt, result);
    const {selection} = attempt;
    const {id} = selection.server;
    if (result.kind === AttemptKind.Unreachable) {
      this.budget.giveBack();
      return;
    }
    this.runs += 1;
    const error = result.kind === AttemptKind.Broken ? result.error : undefined;
    if (error instanceof SilentConnectionError) {
      this.failed.add(id);
      this.options.outcomes.recordFailure(id);
      this.suspectCrash(selection.server, []);
    }
    this.log.recordEvent('attempt given up', selection, error?.message);
  }

  /** @param parts - suspects beside the request itself */
  private suspectCrash(server: BackendServer, parts: readonly number[]): void {
    const {requestKey: request} = this;
    suspectCrash(this.options, server, {request, parts});
  }

  /** True if a backend server may have run the request. */
  get mayHaveRun(): boolean {
    return this.runs + this.attempts.size > 0;
  }

  /** Leaves the request to the other attempt; false if there is none. */
  private leaveToOther(selection: Selection, cause: string): boolean {
    if (this.attempts.size === 0) return false;
    this.runs += 1;
    this.failed.add(selection.server.id);
    this.log.recordEvent('attempt failed, waiting', selection, cause);
    return true;
  }

  private retry(selection: Selection, cause: string): boolean {
    if (this.leaveToOther(selection, cause)) return true;
    this.runs += 1;
    if (!this.canRetry()) return false;
    this.failed.add(selection.server.id);
    this.budget.take();
    this.countFailedRetry();
    this.log.recordEvent('attempt failed, retrying', selection, cause);
    return true;
  }

  private countFailedRetry(): void {
    const {service} = this.request;
    this.options.metrics.countRetry(service, RetryCause.Failed);
  }
}
