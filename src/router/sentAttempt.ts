/** One attempt of a caller's request and what it holds until its end. */
import type {SentWork} from '../customerShares/customerShares.js';
import {assertNever} from '../protocol/assertNever.js';
import type {AnvilstallError} from '../protocol/errors.js';
import {superviseAttempt, type AttemptBounds} from './attemptSupervisor.js';
import {
  AttemptKind,
  BackendAttempt,
  type AttemptResult,
  type StreamListener,
} from './backendAttempt.js';
import type {BackendConnection} from './backendConnections.js';
import {chooseReusePolicy} from './connectionReuse.js';
import {RouteKind} from './deployment.js';
import type {ForwardedRequest} from './forwardedRequest.js';
import type {RequestForwarderOptions} from './forwarderOptions.js';
import type {RequestShare} from './requestShare.js';
import type {LoadTicket} from './serverLoads.js';
import type {Selection} from './selection.js';
import {computeLimitKey} from './serverSelector.js';
import type {ServedRequest} from './speedSamples.js';
import {recordResponse} from './slowStartSigns.js';

/** What an attempt needs to know about its request. */
export interface SentAttemptOptions {
  readonly components: RequestForwarderOptions;
  readonly request: ForwardedRequest;
  readonly selection: Selection;
  readonly share: RequestShare;
  /** Compact keys of the prompt's parts without the request's own, the last. */
  readonly sharedParts: readonly number[];
  readonly isRetryable: boolean;
  /** Id of the event after which the server resumes the stream. */
  readonly resumesAfter: number | undefined;
  /** Time until the deadline of the request, in milliseconds. */
  readonly remainingMs: number;
}

/** Receives the events of the attempts of one request. */
export interface AttemptListener {
  /** See `StreamListener`. */
  receiveEvents(
    attempt: SentAttempt,
    ...args: Parameters<StreamListener['receiveEvents']>
  ): boolean;
}

/** Head of a stream. */
export interface StreamHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/** Sends a request to the selected server and counts it towards its load. */
export class SentAttempt implements StreamListener {
  readonly selection: Selection;
  readonly sentAtMs = performance.now();
  /** Idle time of the connection before the attempt, in milliseconds. */
  readonly connectionIdleMs: number;
  /** True if the server was known to accept no connections. */
  readonly wasUnreachable: boolean;
  /** Time that is left of the caller's target, in milliseconds. */
  readonly targetLeftMs: number;
  private readonly connection: BackendConnection;
  private readonly ticket: LoadTicket;
  private readonly work: SentWork;
  private readonly withdrawPlacement: () => void;
  private readonly attempt: BackendAttempt;
  private firstEventAtMs: number | undefined;
  private receivedHead: StreamHead | undefined;
  /** Slowness of the moment that the head of the answer stated. */
  private slowness = 1;

  constructor(
    private readonly options: SentAttemptOptions,
    private readonly listener: AttemptListener,
  ) {
    const {components, request, selection, remainingMs} = options;
    const {exchange, body, route, maxAnswerBytes} = request;
    const {codec, connections, loads, meter} = components;
    const {server, prefillWork, fetchFrom} = selection;
    this.selection = selection;
    this.wasUnreachable = components.outcomes.isUnreachable(server.id);
    const waitedMs = this.sentAtMs - exchange.startedAtMs;
    this.targetLeftMs = route.targetMs - waitedMs;
    components.limits.recordSend(computeLimitKey(server));
    components.pace.recordSend(server);
    const isEngine = exchange.request.promptParts.length > 0;
    this.ticket = loads.add(server.id, {
      prefillWork,
      rank: request.urgency,
      pauseWeight: isEngine ? selection.pauseWeight : 0,
    });
    this.work = options.share.recordSend(selection);
    this.withdrawPlacement = components.selector.recordPlacement(
      selection,
      exchange.request.promptParts,
    );
    const isStream = route.kind === RouteKind.Stream;
    this.connection = connections.take(
      server,
      chooseReusePolicy({
        isRetryable: options.isRetryable,
        isStream,
        canReuseIdle: components.idleReuse.canReuseIdle(server.service),
      }),
    );
    this.connectionIdleMs = this.connection.idleMs;
    this.attempt = new BackendAttempt({
      connection: this.connection,
      method: exchange.incoming.method ?? 'GET',
      path: exchange.incoming.url ?? '/',
      headers: codec.encodeRequest(exchange.incoming.rawHeaders, {
        serverId: server.id,
        deadlineMs: remainingMs,
        customer: request.customer,
        lastEventId: options.resumesAfter,
        urgency: isEngine ? request.urgency : undefined,
        fetchFrom,
      }),
      body,
      attemptId: exchange.request.attemptId,
      codec,
      stream: isStream ? this : undefined,
      receiveAnswer: answer => {
        this.slowness = answer.load?.slowness || 1;
        components.answerNotices.record(server, answer, this.sentAtMs);
      },
      maxAnswerBytes,
      meter,
    });
  }

  /** True once an event of this attempt has arrived. */
  get hasEvents(): boolean {
    return this.firstEventAtMs !== undefined;
  }

  /** `performance.now()` when its connection was opened. */
  get connectedAtMs(): number {
    return this.connection.connectedAtMs;
  }

  /** Head of the stream, once it has arrived. */
  get head(): StreamHead | undefined {
    return this.receivedHead;
  }

  /** Milliseconds since the request was sent; 0 while it connects. */
  measureSentMs(): number {
    return this.attempt.measureSentMs();
  }

  /** Describes what the server has done up to now. */
  describeServed(): ServedRequest {
    return {ms: this.measureSentMs(), slowness: this.slowness};
  }

  /** Closes the connection, which cancels the request at the server. */
  abort(reason: AnvilstallError): void {
    this.attempt.abort(reason);
  }

  /**
   * Waits for the result; then releases the connection and the load.
   *
   * @example
   * const result = await attempt.supervise({handleSilence: () => {}});
   */
  async supervise(
    bounds: Pick<AttemptBounds, 'handleSilence'>,
  ): Promise<AttemptResult> {
    const {components, request, selection, remainingMs} = this.options;
    const {id} = selection.server;
    try {
      const result = await superviseAttempt(this.attempt, {
        ...bounds,
        route: request.route,
        signal: request.exchange.signal,
        remainingMs,
        expectedMs: selection.expectedMs,
        hasEvents: () => this.hasEvents,
        isServerActive: () => components.outcomes.hasRecentEvent(id),
      });
      if (!this.hasEvents) this.withdrawPlacement();
      this.recordSlotTime(result);
      this.settleWork(result);
      return result;
    } finally {
      this.connection.release();
      this.ticket.release();
    }
  }

  receiveHead(status: number, headers: string[]): void {
    this.receivedHead = {status, headers};
  }

  receiveEvents(
    events: Parameters<StreamListener['receiveEvents']>[0],
    resume: () => void,
  ): boolean {
    const {components, selection} = this.options;
    components.outcomes.recordEvent(selection.server.id);
    components.pace.recordLife(selection.server, this.connectedAtMs);
    if (!this.hasEvents) this.recordFirstEvent();
    return this.listener.receiveEvents(this, events, resume);
  }

  private recordSlotTime({kind}: AttemptResult): void {
    if (kind !== AttemptKind.Streamed || !this.firstEventAtMs) return;
    const {components, request} = this.options;
    const ms = performance.now() - this.firstEventAtMs;
    components.selector.recordSlotTime(request.service, ms);
  }

  /** Corrects what the customer is charged once the use is known. */
  private settleWork({kind}: AttemptResult): void {
    const {share, selection} = this.options;
    switch (kind) {
      case AttemptKind.NotRun:
      case AttemptKind.Unreachable:
        this.work.withdraw();
        return;
      case AttemptKind.Answered:
      case AttemptKind.Streamed:
      case AttemptKind.Broken:
        this.work.settle(
          share.computeUseMs(selection, this.sentAtMs, this.firstEventAtMs),
        );
        return;
      default:
        assertNever(kind);
    }
  }

  private recordFirstEvent(): void {
    const {components, request, selection, sharedParts} = this.options;
    this.firstEventAtMs = performance.now();
    components.quarantine.recordStart(sharedParts);
    this.ticket.finishPrefill();
    recordResponse(components, this);
    components.selector.recordFirstEvent(
      selection,
      request.service,
      this.describeServed(),
    );
  }
}
