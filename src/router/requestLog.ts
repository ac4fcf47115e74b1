/** Log lines and metrics about one request. */
import type {Log, LogFields} from '../node/log.js';
import type {Refusal} from '../protocol/refusal.js';
import {listAttemptFields} from './attemptLog.js';
import {RequestState} from './callerExchange.js';
import {AdmissionDecision} from './promptAdmission.js';
import type {ForwardedRequest} from './forwardedRequest.js';
import type {RequestShare} from './requestShare.js';
import type {RouterMetrics} from './routerMetrics.js';
import type {ServerDirectory} from './serverDirectory.js';
import type {Selection} from './selection.js';
import {StreamProgress} from './streamProgress.js';

export interface RequestLogOptions {
  readonly log: Log;
  readonly metrics: RouterMetrics;
  readonly directory: ServerDirectory;
}

/** Describes the decisions about one request from its arrival to its end. */
export class RequestLog {
  /** Attempts so far, including those that did not run. */
  sends = 0;
  /** Attempts of these for which no connection to a server could be opened. */
  unreached = 0;
  /** Latest decision about holding the prompt back. */
  admission = AdmissionDecision.OnTime;
  readonly progress: StreamProgress;

  constructor(
    private readonly options: RequestLogOptions,
    private readonly request: ForwardedRequest,
    private readonly share: RequestShare,
  ) {
    this.progress = new StreamProgress(request.exchange.startedAtMs);
  }

  /** Counts an attempt that starts. */
  recordSend(): void {
    this.sends += 1;
    this.request.exchange.state = RequestState.AtServer;
  }

  /** Records that the request is at no server any more. */
  recordSendEnd(): void {
    this.request.exchange.state = RequestState.ChoosingServer;
  }

  /** Logs and counts an answer that was passed on. */
  recordAnswer(selection: Selection, status: number): void {
    const {firstEventMs: startMs = this.elapsedMs, maxPauseMs} = this.progress;
    const {metrics} = this.options;
    metrics.recordAnswer(this.request.route, {status, startMs, maxPauseMs});
    this.recordEvent('answered', selection, status);
  }

  /** Logs and counts a refusal. */
  recordRefusal(refusal: Refusal, retryBudget: number): void {
    const {metrics, log} = this.options;
    metrics.countRefusal(this.request.route.name, refusal.reason);
    log.logInfo('refused', {
      ...this.listRequestFields(),
      reason: refusal.reason,
      outcome: refusal.outcome,
      cause: refusal.message,
      budget: Math.floor(retryBudget),
    });
  }

  /** Logs that the caller disconnected while no attempt was in progress. */
  recordCallerGone(): void {
    this.options.log.logInfo('caller gone, not sent', this.listRequestFields());
  }

  /**
   * Logs what happened to an attempt.
   *
   * @param cause - a status, a message or a time in milliseconds
   */
  recordEvent(
    event: string,
    selection: Selection,
    cause?: string | number,
  ): void {
    const {log, directory} = this.options;
    log.logInfo(
      event,
      listAttemptFields({
        request: this.request,
        selection,
        cause,
        sends: this.sends,
        unreached: this.unreached || undefined,
        admission: this.admission,
        viewAgeMs: directory.measureAgeMs(),
        progress: this.progress,
        isBeyondShare: this.share.isBeyond,
      }),
    );
  }

  private get elapsedMs(): number {
    return performance.now() - this.request.exchange.startedAtMs;
  }

  private listRequestFields(): LogFields {
    const {exchange, route, customer, deploymentVersion} = this.request;
    return {
      requestId: exchange.request.attemptId,
      route: route.name,
      customer,
      isBeyondShare: this.share.isBeyond || undefined,
      deployment: deploymentVersion,
      sends: this.sends,
      unreached: this.unreached || undefined,
      ms: Math.round(this.elapsedMs),
    };
  }
}
