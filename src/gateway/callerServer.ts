/** HTTP server for the requests of callers. */
import crypto from 'node:crypto';
import type {
  IncomingMessage,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {serve, type HttpBindings} from '@hono/node-server';
import {Hono, type Context} from 'hono';
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import {arrivalTimeMs, stopListening} from '../node/stopListening.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {buildRefusalResponse, formatRawRefusal} from './refusalResponse.js';
import type {CallerRequest} from './requestReader.js';

const maxHeaderBytes = 16 * 1024;
/** Time limit on the head of a request; `readBody` limits the body. */
const headersTimeoutMs = 10_000;
/** Longer than the time limit on bodies, so that the route answers first. */
const requestTimeoutMs = 30_000;
const timeoutCheckIntervalMs = 1_000;

const serverOptions: ServerOptions = {
  maxHeaderSize: maxHeaderBytes,
  headersTimeout: headersTimeoutMs,
  requestTimeout: requestTimeoutMs,
  connectionsCheckingInterval: timeoutCheckIntervalMs,
};

export interface CallerServerOptions {
  host: string;
  port: number;
  log: Log;
}

/** Handles one request; an exception is answered as an internal error. */
export type CallerHandler = (
  c: Context,
  request: CallerRequest,
) => Response | Promise<Response>;

export interface CallerHandlers {
  addresses: CallerHandler;
  chat: CallerHandler;
  services: CallerHandler;
}

/** Listens for callers and routes their requests to the handlers. */
export class CallerServer {
  private server: Server | undefined;
  private leaving = false;
  /** When set, connections are closed as soon as they are idle. */
  private stopping = false;
  private inProgress = 0;
  private requests = 0;
  private connections = 0;
  private lastActivityAtMs = performance.now();

  constructor(
    private readonly options: CallerServerOptions,
    private readonly handlers: CallerHandlers,
  ) {}

  /** Starts listening; rejects when the address can't be bound. */
  async start(): Promise<void> {
    const {host, port} = this.options;
    const app = this.buildApp();
    await new Promise<void>((resolve, reject) => {
      const server = serve(
        {fetch: app.fetch, hostname: host, port, serverOptions},
        () => resolve(),
      ) as Server;
      server.once('error', reject);
      server.on('connection', socket => this.trackConnection(socket));
      server.on('clientError', (error, socket) =>
        this.answerClientError(error, socket as Socket),
      );
      this.server = server;
    });
  }

  getPort(): number {
    return (this.server?.address() as AddressInfo).port;
  }

  /**
   * Adds `connection: close` to answers from now on, so that callers send no
   * further requests on their connections.
   */
  announceLeaving(): void {
    this.leaving = true;
  }

  /** Counts requests whose answer is not complete. */
  countInProgress(): number {
    return this.inProgress;
  }

  /** Counts open connections. */
  countConnections(): number {
    return this.connections;
  }

  /** Returns the time since a request or a connection last began or ended. */
  computeIdleMs(): number {
    return performance.now() - this.lastActivityAtMs;
  }

  /** Stops listening and waits for the requests in progress. */
  async stop(): Promise<void> {
    const {server} = this;
    if (!server) return;
    const closed = stopListening(server);
    await waitFor(arrivalTimeMs);
    this.stopping = true;
    this.closeIdleConnections();
    await closed;
  }

  /** Closes all connections, including those with requests in progress. */
  closeConnections(): void {
    this.server?.closeAllConnections();
  }

  /** State for the dump. */
  describe(): object {
    const {leaving, inProgress, requests, connections} = this;
    return {leaving, inProgress, requests, connections};
  }

  private buildApp(): Hono<{Bindings: HttpBindings}> {
    const app = new Hono<{Bindings: HttpBindings}>();
    const {addresses, chat, services} = this.handlers;
    app.get('/v1/addresses', c => this.run(c, addresses));
    app.post('/v1/chat/completions', c => this.run(c, chat));
    app.all('/v1/services/:service/*', c => this.run(c, services));
    app.notFound(c => this.run(c, refuseUnknownPath));
    return app;
  }

  private async run(c: Context, handler: CallerHandler): Promise<Response> {
    const requestId = crypto.randomUUID();
    const {incoming, outgoing} = c.env as HttpBindings;
    const signal = this.trackRequest(
      outgoing as ServerResponse,
      incoming as IncomingMessage,
    );
    try {
      const request = {requestId, headers: c.req.raw.headers, signal};
      const response = await handler(c, request);
      if (this.leaving) response.headers.set('connection', 'close');
      return response;
    } catch (error) {
      // Routes handle exceptions that occur once a request was sent to a
      // backend server, so nothing has run when one arrives here.
      const name = error instanceof Error ? error.name : typeof error;
      this.options.log.raise('request handler failed', {
        requestId,
        error: name,
      });
      return buildRefusalResponse(requestId, buildInternalRefusal());
    }
  }

  private trackRequest(
    outgoing: ServerResponse,
    incoming: IncomingMessage,
  ): AbortSignal {
    const gone = new AbortController();
    this.inProgress += 1;
    this.requests += 1;
    this.noteActivity();
    outgoing.once('close', () => {
      this.inProgress -= 1;
      this.noteActivity();
      if (!outgoing.writableFinished) gone.abort();
      // The request was refused before its whole body arrived. Closes the
      // connection rather than reading the rest.
      else if (!incoming.complete) incoming.socket.destroySoon();
      if (this.stopping) setImmediate(() => this.closeIdleConnections());
    });
    return gone.signal;
  }

  private trackConnection(socket: Socket): void {
    this.connections += 1;
    this.noteActivity();
    socket.once('close', () => {
      this.connections -= 1;
      this.noteActivity();
    });
  }

  private closeIdleConnections(): void {
    this.server?.closeIdleConnections();
  }

  private noteActivity(): void {
    this.lastActivityAtMs = performance.now();
  }

  /** Answers a request that the HTTP parser rejected or that timed out. */
  private answerClientError(
    error: Error & {code?: string},
    socket: Socket,
  ): void {
    const current = (socket as Socket & {_httpMessage?: ServerResponse})
      ._httpMessage;
    if (!socket.writable || current?.headersSent) {
      socket.destroy();
      return;
    }
    const refusal = buildProtocolRefusal(error.code ?? '');
    socket.end(formatRawRefusal(crypto.randomUUID(), refusal));
  }
}

function refuseUnknownPath(_c: Context, {requestId}: CallerRequest): Response {
  return buildRefusalResponse(
    requestId,
    new Refusal(
      RefusalReason.NotFound,
      Outcome.NotRun,
      'there is nothing under this path and method',
    ),
  );
}

function buildInternalRefusal(): Refusal {
  return new Refusal(
    RefusalReason.InternalError,
    Outcome.NotRun,
    'the gateway failed to read the request',
  );
}

function buildProtocolRefusal(code: string): Refusal {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return new Refusal(
        RefusalReason.BadHeader,
        Outcome.NotRun,
        `the head of the request is larger than ${maxHeaderBytes} bytes`,
      );
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return new Refusal(
        RefusalReason.DeadlineExceeded,
        Outcome.NotRun,
        'the request did not arrive in time',
      );
    default:
      return new Refusal(
        RefusalReason.MalformedBody,
        Outcome.NotRun,
        'the bytes are not a valid HTTP request',
      );
  }
}
