/** Calls of the dispatcher to backend servers. */
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

/** Deadline of a call in milliseconds. */
const callDeadlineMs = 1_000;
/** Longer than the interval of the polls. */
const keepAliveMs = 15_000;

export type EngineError = ConnectError | BackendServerError;

/** What became of an order. */
export enum OrderResult {
  Accepted = 'accepted',
  /** The fencing number is old, or the sender may not give orders. */
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
 * Keeps one connection per backend server. It is dropped after a failed call,
 * because it may have gone silent while new ones work.
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
   * True when the server refuses a new connection. The call uses one of its
   * own, as a kept one doesn't show it.
   */
  async isRefusing(address: string): Promise<boolean> {
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
  releaseOthers(addresses: ReadonlySet<string>): void {
    for (const address of this.clients.keys()) {
      if (!addresses.has(address)) this.drop(address);
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
      this.drop(address);
      return describeFailure(`${address}${request.path}`, cause);
    });
  }

  private getClient(address: string): Client {
    const known = this.clients.get(address);
    if (known) return known;
    const client = new Client(`http://${address}`, {
      keepAliveTimeout: keepAliveMs,
    });
    this.clients.set(address, client);
    return client;
  }

  private drop(address: string): void {
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
    signal: AbortSignal.timeout(callDeadlineMs),
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
