/** HTTP client for the calls of the dispatcher to backend servers. */
import {ResultAsync} from 'neverthrow';
import {Client} from 'undici';
import type {z} from 'zod';
import {
  cacheEventsSchema,
  engineStateSchema,
  loadReportSchema,
  type CacheEvents,
  type EngineOrder,
  type EngineState,
  type LoadReport,
} from '../protocol/engineApi.js';
import {BackendServerError, ConnectError} from '../protocol/errors.js';

const callTimeoutMs = 1_000;
/** Longer than the interval of the polls, so that they reuse connections. */
const keepAliveTimeoutMs = 15_000;

export type EngineError = ConnectError | BackendServerError;

/** Outcome of an order. */
export enum OrderResult {
  Accepted = 'accepted',
  /** The fencing number is old, or the sender may not send orders. */
  Refused = 'refused',
}

interface EngineRequest {
  method: 'GET' | 'POST';
  path: string;
  headers?: Record<string, string>;
  body?: string;
}

interface EngineResponse {
  statusCode: number;
  text: string;
}

/**
 * Keeps one connection per backend server. It is closed after a failed call,
 * because it may have become unresponsive while new connections work.
 */
export class EngineClient {
  private readonly clients = new Map<string, Client>();

  /** Reads the load report. */
  readLoad(address: string): ResultAsync<LoadReport, EngineError> {
    return this.read(address, '/load', loadReportSchema);
  }

  /** Reads what the engine has loaded. */
  readState(address: string): ResultAsync<EngineState, EngineError> {
    return this.read(address, '/state', engineStateSchema);
  }

  /** Reads the cache events after a number. */
  readCacheEvents(
    address: string,
    after: number,
  ): ResultAsync<CacheEvents, EngineError> {
    return this.read(
      address,
      `/cache-events?after=${after}`,
      cacheEventsSchema,
    );
  }

  /** Sends a desired state. */
  sendOrder(
    address: string,
    order: EngineOrder,
    key?: string,
  ): ResultAsync<OrderResult, EngineError> {
    const request: EngineRequest = {
      method: 'POST',
      path: '/orders',
      headers: {
        'content-type': 'application/json',
        ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
      },
      body: JSON.stringify(order),
    };
    return this.call(address, request, ({statusCode}) => {
      if (statusCode < 300) return OrderResult.Accepted;
      if (statusCode < 500) return OrderResult.Refused;
      throw new BackendServerError(`status ${statusCode}`);
    });
  }

  /**
   * True if the server refuses a new connection. The check opens a connection
   * of its own, because an existing one doesn't show it.
   */
  async isRefusingConnections(address: string): Promise<boolean> {
    const client = new Client(`http://${address}`);
    const request: EngineRequest = {method: 'GET', path: '/load'};
    const result = await ResultAsync.fromPromise(
      sendRequest(client, request),
      cause => describeFailure(address, cause),
    );
    void client.destroy();
    return result.isErr() && result.error instanceof ConnectError;
  }

  /** Closes the connections to all but the given servers. */
  closeOthers(addresses: ReadonlySet<string>): void {
    for (const address of this.clients.keys()) {
      if (!addresses.has(address)) this.destroyClient(address);
    }
  }

  private read<S extends z.ZodType>(
    address: string,
    path: string,
    schema: S,
  ): ResultAsync<z.output<S>, EngineError> {
    return this.call(address, {method: 'GET', path}, ({statusCode, text}) => {
      if (statusCode === 200) return schema.parse(JSON.parse(text));
      throw new BackendServerError(`status ${statusCode}`);
    });
  }

  private call<T>(
    address: string,
    request: EngineRequest,
    parse: (response: EngineResponse) => T,
  ): ResultAsync<T, EngineError> {
    const attempt = async (): Promise<T> =>
      parse(await sendRequest(this.getClient(address), request));
    return ResultAsync.fromPromise(attempt(), cause => {
      this.destroyClient(address);
      return describeFailure(`${address}${request.path}`, cause);
    });
  }

  private getClient(address: string): Client {
    const known = this.clients.get(address);
    if (known) return known;
    const client = new Client(`http://${address}`, {
      keepAliveTimeout: keepAliveTimeoutMs,
    });
    this.clients.set(address, client);
    return client;
  }

  private destroyClient(address: string): void {
    void this.clients.get(address)?.destroy();
    this.clients.delete(address);
  }
}

async function sendRequest(
  client: Client,
  request: EngineRequest,
): Promise<EngineResponse> {
  const response = await client.request({
    ...request,
    signal: AbortSignal.timeout(callTimeoutMs),
  });
  const text = await response.body.text();
  return {statusCode: response.statusCode, text};
}

function describeFailure(call: string, cause: unknown): EngineError {
  const {code} = cause as NodeJS.ErrnoException;
  const message = `${call}: ${cause instanceof Error ? cause.message : cause}`;
  return code === 'ECONNREFUSED'
    ? new ConnectError(message, {cause})
    : new BackendServerError(message, {cause});
}
