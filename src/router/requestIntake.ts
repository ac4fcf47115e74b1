/** Takes callers' requests: limits, routes, keys, then forwarding. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import {arrivalTimeMs, stopListening} from '../node/stopListening.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {CallerExchange} from './callerExchange.js';
import type {Route} from './deployment.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {MessageCodec} from './messageCodec.js';
import type {RequestForwarder} from './requestForwarder.js';
import type {RouterMetrics} from './routerMetrics.js';
import {pickService, type RouteTable} from './routeTable.js';

/** Largest head that is parsed in bytes; deployments set a lower limit. */
const maxParsedHeadBytes = 65_536;
/** Limits before the first deployment. */
const firstIdleTimeoutMs = 5_000;
const firstHeaderTimeoutMs = 5_000;
/** Checks for connections that exceed a timeout, in milliseconds. */
const connectionCheckMs = 1_000;
/** Connections that wait to be accepted. */
const backlog = 1_024;
/** Time after which a caller of a starting router comes back. */
const startRetryAfterMs = 300;

export interface RequestIntakeOptions {
  readonly codec: MessageCodec;
  readonly deployments: DeploymentStore;
  readonly forwarder: RequestForwarder;
  readonly metrics: RouterMetrics;
  readonly log: Log;
}

/** A request that may be forwarded. */
interface Admission {
  readonly route: Route;
  readonly table: RouteTable;
  readonly customer?: string;
  /** Rank at an engine from 0, the most urgent, to 9. */
  readonly urgency: number;
}

/** HTTP server of callers. */
export class RequestIntake {
  private readonly server: http.Server;
  private readonly idle = new Set<Socket>();
  private activeCount = 0;
  private isClosing = false;
  private isRefusing = false;

  constructor(private readonly options: RequestIntakeOptions) {
    this.server = http.createServer(
      {
        maxHeaderSize: maxParsedHeadBytes,
        keepAliveTimeout: firstIdleTimeoutMs,
        headersTimeout: firstHeaderTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: connectionCheckMs,
      },
      (incoming, response) => void this.handle(incoming, response),
    );
    this.server.on('connection', socket => this.addIdle(socket));
    this.server.on('clientError', (_error, socket) => {
      if (!socket.writable) return;
      socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
    });
    options.deployments.watch(({deployment: {limits}}) => {
      this.server.keepAliveTimeout = limits.idleTimeoutMs;
      this.server.headersTimeout = limits.headerTimeoutMs;
    });
  }

  /** Requests without a whole answer yet. */
  get active(): number {
    return this.activeCount;
  }

  /** Listens on an address; returns the port, also when 0 was given. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({port, host, backlog}, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** From now on each answer asks its caller to close the connection. */
  drain(): void {
    this.isClosing = true;
  }

  /**
   * Takes no new connections; closes idle ones once requests that were on
   * their way have come, and refuses what comes later.
   */
  async close(): Promise<void> {
    void stopListening(this.server);
    await waitFor(arrivalTimeMs);
    this.isRefusing = true;
    for (const socket of this.idle) socket.end();
  }

  /** Breaks off all connections. */
  destroy(): void {
    void stopListening(this.server);
    this.server.closeAllConnections();
  }

  private addIdle(socket: Socket): void {
    socket.setNoDelay(true);
    this.idle.add(socket);
    socket.once('close', () => this.idle.delete(socket));
  }

  private async handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.activeCount += 1;
    this.idle.delete(incoming.socket);
    response.once('close', () => {
      this.activeCount -= 1;
      if (!incoming.socket.destroyed) this.idle.add(incoming.socket);
    });
    if (this.isClosing) response.shouldKeepAlive = false;
    const exchange = new CallerExchange(incoming, response, this.options.codec);
    try {
      await this.serve(exchange);
    } catch (error) {
      this.options.log.raise('request failed', {
        requestId: exchange.request.attemptId,
        error: String(error),
      });
      response.destroy();
    }
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
    const service = pickService(route.split, Math.random());
    if (service === undefined) {
      const reason = RefusalReason.NoBackendServer;
      const message = `route "${route.name}" has no service`;
      this.refuse(exchange, new Refusal(reason, Outcome.NotRun, message));
      return;
    }
    await this.options.forwarder.forward({
      exchange,
      route,
      service,
      customer,
      urgency,
      body,
      maxAnswerBytes: limits.maxBodyBytes,
    });
  }

  /** Finds route and customer in the deployment in force. */
  private admit({incoming, request}: CallerExchange): Admission | Refusal {
    const {table} = this.options.deployments;
    if (!table || this.isRefusing) {
      const reason = table
        ? RefusalReason.ShuttingDown
        : RefusalReason.NotReady;
      const message = table ? 'router is stopping' : 'no deployment yet';
      return new Refusal(reason, Outcome.NotRun, message, {
        retryAfterMs: startRetryAfterMs,
      });
    }
    const {limits} = table.deployment;
    const headBytes = incoming.rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      0,
    );
    if (headBytes > limits.maxHeaderBytes) {
      const message = `head is longer than ${limits.maxHeaderBytes} bytes`;
      return new Refusal(RefusalReason.BadHeader, Outcome.NotRun, message);
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

  /** Reads a body; undefined when it is too long or its caller has gone. */
  private async readBody(
    exchange: CallerExchange,
    maxBytes: number,
  ): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
      for await (const chunk of exchange.incoming) {
        chunks.push(chunk as Buffer);
        bytes += (chunk as Buffer).length;
        if (bytes > maxBytes) {
          const reason = RefusalReason.BodyTooLarge;
          const message = `body is longer than ${maxBytes} bytes`;
          this.refuse(exchange, new Refusal(reason, Outcome.NotRun, message));
          return undefined;
        }
      }
    } catch (error) {
      this.options.log.noteDebug('body not received', {
        requestId: exchange.request.attemptId,
        error: String(error),
      });
      return undefined;
    }
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
  }

  private refuse(exchange: CallerExchange, refusal: Refusal): void {
    exchange.refuse(refusal);
    this.options.metrics.countRefusal('', refusal.reason);
    this.options.log.note('refused', {
      requestId: exchange.request.attemptId,
      reason: refusal.reason,
      outcome: refusal.outcome,
      cause: refusal.message,
      deployment: this.options.deployments.version,
    });
  }
}
