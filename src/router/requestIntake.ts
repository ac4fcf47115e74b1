/**
 * HTTP server for callers: checks limits, route and key of a request, then
 * forwards it.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {CallerTraffic} from '../callerRouting/demandMeter.js';
import type {InputMeter} from '../input/inputMeter.js';
import {receiveBytes} from '../input/receiveBytes.js';
import {waitFor} from '../node/delay.js';
import type {Log, LogFields} from '../node/log.js';
import {requestArrivalGraceMs, stopListening} from '../node/stopListening.js';
import {assertNever} from '../protocol/assertNever.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {AcceptQueue, type AcceptCounts} from './acceptQueue.js';
import {BreakCause} from './breakCause.js';
import {
  CallerExchange,
  RequestState,
  stopRetryAfterMs,
} from './callerExchange.js';
import type {Route} from './deployment.js';
import {buildBodyRefusal} from './bodyRefusal.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {MessageCodec} from './messageCodec.js';
import type {RequestForwarder} from './requestForwarder.js';
import {checkHead} from './requestHead.js';
import type {RouterMetrics} from './routerMetrics.js';
import {estimateRetryAfterMs, estimateStartRetryAfterMs} from './returnTime.js';
import {pickService, type RouteTable} from './routeTable.js';
import {Turn, TurnQueue} from './turnQueue.js';

/** Largest request head that is parsed; deployments set a lower limit. */
const maxParsedHeadBytes = 65_536;
/** Timeouts until the first deployment sets them. */
const initialIdleTimeoutMs = 5_000;
const initialHeaderTimeoutMs = 5_000;
/** Interval of checks for connections that exceed a timeout. */
const connectionCheckIntervalMs = 1_000;
/** Length of the queue of connections that wait to be accepted. */
const backlog = 1_024;
/** Longest time in which the last answers are written, in milliseconds. */
const flushTimeoutMs = 100;
/** Interval of the check whether they have been written, in milliseconds. */
const flushPollMs = 5;
/**
 * Ratio of a route's target that a request may wait for processor time. The
 * rest of the target is left to the backend server.
 */
const maxTurnWaitRatio = 0.5;

export interface RequestIntakeOptions {
  readonly codec: MessageCodec;
  readonly deployments: DeploymentStore;
  /** Whether the router knows which zones are evacuated. */
  readonly evacuations: {readonly isKnown: boolean};
  readonly forwarder: RequestForwarder;
  readonly meter: InputMeter;
  readonly metrics: RouterMetrics;
  readonly log: Log;
}

/** A request that passed the checks, with what they found. */
interface AdmittedRequest {
  readonly route: Route;
  readonly table: RouteTable;
  readonly customer?: string;
  /** Priority at an engine from 0, the most urgent, to 9. */
  readonly urgency: number;
}

/** Accepts callers' connections and hands their requests to the forwarder. */
export class RequestIntake {
  readonly traffic = new CallerTraffic();
  private readonly server: http.Server;
  /** Connections without a request, with the bytes read until then. */
  private readonly idleSockets = new Map<Socket, number>();
  private acceptedCount = 0;
  /** Response to the latest request of each connection. */
  private readonly responses = new WeakMap<Socket, ServerResponse>();
  /** Connections that have received invalid bytes. */
  private readonly endingSockets = new WeakSet<Socket>();
  private readonly turns = new TurnQueue();
  private readonly acceptQueue = new AcceptQueue();
  private readonly inFlight = new Set<CallerExchange>();
  private readonly createdAtMs = performance.now();
  /** When requests begin to be refused because the router stops. */
  private refusesAtMs = Infinity;

  constructor(private readonly options: RequestIntakeOptions) {
    this.server = http.createServer(
      {
        maxHeaderSize: maxParsedHeadBytes,
        keepAliveTimeout: initialIdleTimeoutMs,
        headersTimeout: initialHeaderTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: connectionCheckIntervalMs,
      },
      (incoming, response) => void this.handle(incoming, response),
    );
    this.server.on('connection', socket => this.addIdleSocket(socket));
    this.server.on('clientError', (error, socket) =>
      this.handleClientError(error, socket as Socket),
    );
    options.deployments.watch(({deployment: {limits}}) => {
      this.server.keepAliveTimeout = limits.idleTimeoutMs;
      this.server.headersTimeout = limits.headerTimeoutMs;
    });
  }

  /** Number of requests in flight. */
  get active(): number {
    return this.inFlight.size;
  }

  /** Listens on an address; returns the port, which the system picks for 0. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({port, host, backlog}, resolve);
    });
    const address = this.server.address() as AddressInfo;
    this.acceptQueue.start(host, address.port);
    return address.port;
  }

  /** Time for which connections wait now to be accepted, in milliseconds. */
  measureAcceptWaitMs(): number {
    return this.acceptQueue.measureWaitMs();
  }

  /** Returns the counts of accepted connections since the last call. */
  takeAcceptCounts(): AcceptCounts {
    return this.acceptQueue.takeCounts();
  }

  /**
   * Sends `Connection: close` with each answer that begins, and refuses requests
   * whose last byte is read later than this many milliseconds from now.
   */
  drain(acceptMs: number): void {
    this.refusesAtMs = performance.now() + acceptMs;
    for (const exchange of this.inFlight) exchange.closeAfterAnswer();
  }

  /**
   * Accepts no new connections. Waits until requests that were already on the
   * network have arrived, then closes idle connections.
   */
  async close(): Promise<void> {
    await this.acceptPending();
    this.acceptQueue.stop();
    void stopListening(this.server);
    await waitFor(requestArrivalGraceMs);
    await waitForPoll();
    for (const [socket, bytesRead] of this.idleSockets) {
      // A request that arrives on a half-closed connection would be read and
      // couldn't be answered. Its caller may repeat one that is never read.
      if (socket.bytesRead === bytesRead) socket.destroySoon();
    }
  }

  /**
   * Refuses the requests in flight whose answer has not begun, and waits until
   * complete answers have been written. Answers that have begun go on.
   */
  async refuseUnanswered(): Promise<void> {
    this.refusesAtMs = -Infinity;
    await waitForPoll();
    for (const exchange of [...this.inFlight]) {
      if (exchange.isHeadSent) continue;
      const cause = 'router is stopping';
      const refusal = exchange.giveUp(RefusalReason.ShuttingDown, cause);
      if (refusal) this.recordRefusal(exchange, refusal);
    }
    const endsAtMs = performance.now() + flushTimeoutMs;
    while (this.isWriting() && performance.now() < endsAtMs) {
      await waitFor(flushPollMs);
    }
    await waitForPoll();
  }

  /** True while a complete answer is on its way to its caller. */
  private isWriting(): boolean {
    return [...this.inFlight].some(
      ({state}) => state === RequestState.WritingAnswer,
    );
  }

  /** Closes all connections at once, also those with requests in flight. */
  destroy(): void {
    this.acceptQueue.stop();
    void stopListening(this.server);
    // The process may end before the connections emit `close`.
    for (const exchange of this.inFlight) {
      exchange.isGivenUp = true;
      this.recordUnanswered(exchange, BreakCause.RouterStopping);
    }
    this.inFlight.clear();
    this.server.closeAllConnections();
  }

  /** Logs each request in flight, its age and what it waits for. */
  logInFlight(): void {
    for (const exchange of this.inFlight) {
      this.options.log.logInfo('in flight', listStateFields(exchange));
    }
  }

  /**
   * Accepts the connections that wait in the backlog, which are reset when the
   * server closes. The event loop accepts one in each iteration.
   */
  private async acceptPending(): Promise<void> {
    const endsAtMs = performance.now() + requestArrivalGraceMs;
    let count: number;
    do {
      count = this.acceptedCount;
      await waitForPoll();
    } while (this.acceptedCount > count && performance.now() < endsAtMs);
  }

  private addIdleSocket(socket: Socket): void {
    this.turns.recordAccept();
    this.acceptedCount += 1;
    if (!this.acceptQueue.recordAccept(socket)) {
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    this.traffic.add(socket);
    this.idleSockets.set(socket, socket.bytesRead);
    socket.once('close', () => this.idleSockets.delete(socket));
  }

  private handleClientError(error: NodeJS.ErrnoException, socket: Socket) {
    if (error.code !== 'ERR_HTTP_REQUEST_TIMEOUT') {
      const end = () => endConnection(socket, '400 Bad Request');
      const response = this.responses.get(socket);
      // The invalid bytes follow a request that is still to be answered.
      if (!response?.req.complete || response.closed) end();
      else if (!this.endingSockets.has(socket)) response.once('close', end);
      this.endingSockets.add(socket);
      return;
    }
    // After a delay of the event loop, the timeout is checked before the bytes
    // that have arrived meanwhile are read.
    setImmediate(() => {
      if (!this.idleSockets.has(socket)) return;
      endConnection(socket, '408 Request Timeout');
    });
  }

  private async handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // No answer can be sent after the end of the connection.
    if (!incoming.socket.writable) {
      const {attemptId: requestId} = this.options.codec.decodeRequest(
        incoming.rawHeaders,
      );
      this.options.log.warn('read on an ended connection', {requestId});
      return;
    }
    const acceptWaitMs = this.acceptQueue.takeWaitMs(incoming.socket);
    const exchange = new CallerExchange(
      incoming,
      response,
      this.options.codec,
      acceptWaitMs,
    );
    this.inFlight.add(exchange);
    this.idleSockets.delete(incoming.socket);
    this.responses.set(incoming.socket, response);
    response.once('close', () => this.finish(exchange, response));
    if (this.refusesAtMs < Infinity) exchange.closeAfterAnswer();
    try {
      await this.serve(exchange);
    } catch (error) {
      this.options.log.logError('request failed', {
        requestId: exchange.request.attemptId,
        error: String(error),
      });
      const cause = 'the router failed';
      const refusal = exchange.giveUp(RefusalReason.NoBackendServer, cause);
      if (refusal) this.recordRefusal(exchange, refusal);
    }
  }

  private finish(exchange: CallerExchange, response: ServerResponse): void {
    const {socket} = exchange.incoming;
    const isLatest = this.responses.get(socket) === response;
    if (isLatest && !socket.destroyed) {
      this.idleSockets.set(socket, socket.bytesRead);
    }
    if (!this.inFlight.delete(exchange) || response.writableFinished) return;
    if (socket.readableEnded || socket.errored) {
      const fields = {
        ...listStateFields(exchange),
        cause: socket.errored?.message,
      };
      this.options.log.logDebug('closed by the caller', fields);
    } else this.recordUnanswered(exchange);
  }

  /** Records that the router closed a connection in use. */
  private recordUnanswered(
    exchange: CallerExchange,
    cause = exchange.breakCause,
  ): void {
    this.options.metrics.countUnanswered(exchange.state);
    this.options.log.warn('closed without an answer', {
      ...listStateFields(exchange),
      cause,
    });
  }

  private async serve(exchange: CallerExchange): Promise<void> {
    const admission = this.admit(exchange);
    if (admission instanceof Refusal) {
      this.refuse(exchange, admission);
      return;
    }
    const {route, table, customer, urgency} = admission;
    const {limits} = table.deployment;
    const body = await this.readBody(exchange, limits.maxBodyBytes);
    if (body === undefined) return;
    if (performance.now() >= this.refusesAtMs) {
      this.refuse(exchange, buildStopRefusal());
      return;
    }
    exchange.state = RequestState.WaitingForTurn;
    if (!(await this.waitForTurn(exchange, admission))) return;
    exchange.state = RequestState.ChoosingServer;
    const service = pickService(route.split, Math.random());
    if (service === undefined) {
      const reason = RefusalReason.NoBackendServer;
      const message = `route "${route.name}" has no service`;
      this.refuse(exchange, new Refusal(reason, Outcome.NotRun, message));
      return;
    }
    const {forwarder, meter} = this.options;
    await forwarder.forward({
      exchange,
      route,
      service,
      customer,
      urgency,
      deploymentVersion: table.deployment.version,
      body,
      // The limits of the deployment bound what callers send, not their answers.
      maxAnswerBytes: Math.max(limits.maxBodyBytes, meter.maxInputBytes),
    });
  }

  /**
   * Waits until the processor has time for the request. False when the caller
   * left or was refused meanwhile.
   */
  private async waitForTurn(
    exchange: CallerExchange,
    {route, customer, urgency: rank}: AdmittedRequest,
  ): Promise<boolean> {
    const {signal, startedAtMs, acceptWaitMs} = exchange;
    const maxWaitMs = route.targetMs * maxTurnWaitRatio;
    // After a single stall, a late request may still be answered in time.
    const isOverloaded = this.acceptQueue.measureStreakMs() >= route.targetMs;
    const countedMs = isOverloaded ? acceptWaitMs : 0;
    const turn = await this.turns.wait({
      rank,
      maxWaitMs: maxWaitMs - countedMs,
      signal,
    });
    switch (turn) {
      case Turn.Granted:
        return true;
      case Turn.Expired: {
        const waitedMs = performance.now() - startedAtMs;
        const retryAfterMs = estimateRetryAfterMs(waitedMs, Math.random);
        const message = `no processor time within ${Math.round(maxWaitMs)} ms`;
        this.refuse(
          exchange,
          new Refusal(RefusalReason.QueueFull, Outcome.NotRun, message, {
            retryAfterMs,
          }),
          route.name,
          customer,
        );
        return false;
      }
      case Turn.Abandoned:
        if (exchange.isGivenUp) return false;
        this.options.log.logInfo('caller gone, not sent', {
          requestId: exchange.request.attemptId,
          route: route.name,
          customer,
          ms: Math.round(performance.now() - startedAtMs),
        });
        return false;
      default:
        return assertNever(turn);
    }
  }

  /** Checks limits, route and key against the deployment in force. */
  private admit({
    incoming,
    request,
  }: CallerExchange): AdmittedRequest | Refusal {
    const {table} = this.options.deployments;
    const isStopping = performance.now() >= this.refusesAtMs;
    if (table && isStopping) return buildStopRefusal();
    if (!table || !this.options.evacuations.isKnown) {
      const message = table ? 'evacuations not known yet' : 'no deployment yet';
      const sinceMs = table ? 0 : performance.now() - this.createdAtMs;
      return new Refusal(RefusalReason.NotReady, Outcome.NotRun, message, {
        retryAfterMs: estimateStartRetryAfterMs(sinceMs, Math.random),
      });
    }
    const {limits} = table.deployment;
    const fault = checkHead(incoming.rawHeaders, limits.maxHeaderBytes);
    if (fault !== undefined) {
      return new Refusal(RefusalReason.BadHeader, Outcome.NotRun, fault);
    }
    const [path] = (incoming.url ?? '').split('?', 1);
    const route = table.findRoute(incoming.headers.host ?? '', path);
    if (!route) {
      const message = 'no route of the host begins the path';
      return new Refusal(RefusalReason.NotFound, Outcome.NotRun, message);
    }
    const customer =
      request.apiKey === undefined
        ? undefined
        : table.findCustomer(request.apiKey);
    if (table.requiresKeys && !route.isPublic && !customer) {
      const message = 'key is missing or belongs to no customer';
      return new Refusal(RefusalReason.BadKey, Outcome.NotRun, message);
    }
    const urgency = table.getUrgency(route, customer);
    return {route, table, customer: customer?.name, urgency};
  }

  /** Reads the body; undefined if a limit or the caller ended it. */
  private async readBody(
    exchange: CallerExchange,
    maxBytes: number,
  ): Promise<Buffer | undefined> {
    try {
      const body = await receiveBytes(exchange.incoming, this.options.meter, {
        maxBytes,
        canPause: true,
      });
      if (body.isOk()) return body.value;
      // The rest of the body may never end.
      exchange.closeAfterAnswer();
      this.refuse(exchange, buildBodyRefusal(body.error));
    } catch (error) {
      this.options.log.logDebug('request body not received', {
        requestId: exchange.request.attemptId,
        error: String(error),
      });
    }
    return undefined;
  }

  private refuse(
    exchange: CallerExchange,
    refusal: Refusal,
    routeName = '',
    customer?: string,
  ): void {
    exchange.refuse(refusal);
    this.recordRefusal(exchange, refusal, routeName, customer);
  }

  private recordRefusal(
    exchange: CallerExchange,
    refusal: Refusal,
    routeName = '',
    customer?: string,
  ): void {
    this.options.metrics.countRefusal(routeName, refusal.reason);
    this.options.log.logInfo('refused', {
      requestId: exchange.request.attemptId,
      route: routeName || undefined,
      customer,
      reason: refusal.reason,
      outcome: refusal.outcome,
      cause: refusal.message,
      deployment: this.options.deployments.version,
    });
  }
}

/**
 * Waits until the event loop has polled for events. Timers run before the poll,
 * so that what has arrived by the time of a timer may still be unread.
 */
function waitForPoll(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Builds the refusal of a request that came too late to be finished. */
function buildStopRefusal(): Refusal {
  return new Refusal(
    RefusalReason.ShuttingDown,
    Outcome.NotRun,
    'router is stopping',
    {retryAfterMs: stopRetryAfterMs},
  );
}

/** Ends a connection with an answer to a request that wasn't received. */
function endConnection(socket: Socket, status: string): void {
  if (!socket.writable) return;
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
}

/** Lists what identifies a request without an answer, and what it waits for. */
function listStateFields(exchange: CallerExchange): LogFields {
  return {
    requestId: exchange.request.attemptId,
    state: exchange.state,
    isHeadSent: exchange.isHeadSent,
    ms: Math.round(performance.now() - exchange.startedAtMs),
  };
}
