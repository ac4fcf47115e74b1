/** Sends one request on an open connection and reads the complete answer. */
import type {Socket} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {Client, type Dispatcher} from 'undici';
import {CallerHeader} from '../protocol/callerApi.js';
import {
  BackendServerError,
  ConnectError,
  CrossedAnswerError,
  DeadlineError,
} from '../protocol/errors.js';
import type {
  ServiceAnswer,
  ServiceCall,
} from '../protocol/operationMessages.js';

export type ExchangeError =
  BackendServerError | CrossedAnswerError | DeadlineError;

export interface ExchangeOptions {
  socket: Socket;
  call: ServiceCall;
  requestId: string;
  operationKey?: string;
  maxAnswerBytes: number;
  /** Milliseconds from the first byte written to the end of the answer. */
  deadlineMs: number;
  /** Cancels the call. */
  signal?: AbortSignal;
}

/** Statuses whose answers carry no body. */
const bodilessStatuses = new Set([204, 304]);

/**
 * Writes the call and reads the answer; an answer that is not provably complete
 * is a failure. The connection is closed afterwards.
 */
export async function sendCall(
  options: ExchangeOptions,
): Promise<Result<ServiceAnswer, ExchangeError>> {
  const deadline = new AbortController();
  const timer = setTimeout(() => deadline.abort(), options.deadlineMs);
  const signal = options.signal
    ? AbortSignal.any([options.signal, deadline.signal])
    : deadline.signal;
  const client = createClient(options);
  try {
    const response = await client.request(buildRequest(options, signal));
    const body = Buffer.from(await response.body.arrayBuffer());
    return checkAnswer(options, response, body);
  } catch (cause) {
    if (deadline.signal.aborted) {
      return err(new DeadlineError('the plain service took too long', {cause}));
    }
    const message = 'the connection to the plain service broke';
    return err(new BackendServerError(message, {cause}));
  } finally {
    clearTimeout(timer);
    await client.destroy();
    options.socket.destroy();
  }
}

function createClient({socket, maxAnswerBytes}: ExchangeOptions): Client {
  let isUsed = false;
  return new Client('http://plain-service', {
    // Refuses a second connection, which would repeat the request.
    connect: (_options, callback) => {
      const refused = isUsed;
      isUsed = true;
      // undici ignores a connection that is handed over synchronously.
      queueMicrotask(() => {
        if (!refused) return callback(null, socket);
        callback(new ConnectError('the connection was already used'), null);
      });
    },
    maxResponseSize: maxAnswerBytes,
    // `deadlineMs` limits the whole exchange instead.
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
}

function buildRequest(
  {call, requestId, operationKey, socket}: ExchangeOptions,
  signal: AbortSignal,
): Dispatcher.RequestOptions {
  return {
    method: call.method,
    path: call.path,
    headers: {
      host: `${socket.remoteAddress}:${socket.remotePort}`,
      [CallerHeader.RequestId]: requestId,
      ...(call.contentType ? {'content-type': call.contentType} : {}),
      ...(operationKey ? {[CallerHeader.OperationKey]: operationKey} : {}),
    },
    body: call.body === '' ? null : Buffer.from(call.body, 'base64'),
    signal,
    idempotent: false,
    reset: true,
  };
}

function checkAnswer(
  {requestId}: ExchangeOptions,
  {statusCode, headers}: Dispatcher.ResponseData,
  body: Buffer,
): Result<ServiceAnswer, ExchangeError> {
  const echoed = headers[CallerHeader.RequestId];
  if (echoed !== undefined && echoed !== requestId) {
    return err(
      new CrossedAnswerError("the answer carries another request's id"),
    );
  }
  // Without either header, a cut connection looks like the end of the body.
  const delimited =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    bodilessStatuses.has(statusCode);
  if (!delimited) {
    return err(new BackendServerError('the answer has no length'));
  }
  const contentType = headers['content-type'];
  return ok({
    status: statusCode,
    ...(typeof contentType === 'string' ? {contentType} : {}),
    body: body.toString('base64'),
  });
}
