/** Calls of the dispatcher to backend servers. */
import {ResultAsync} from 'neverthrow';
import {Client} from 'undici';
import type {z} from 'zod';
import {BackendServerError, ConnectError} from '../protocol/errors.js';
import {loadReportSchema, type LoadReport} from '../protocol/engineApi.js';

/** Deadline of a call in milliseconds. */
const callDeadlineMs = 1_000;

export type EngineError = ConnectError | BackendServerError;

interface EngineCall<S extends z.ZodType> {
  address: string;
  path: string;
  schema: S;
}

/**
 * Each call uses a connection of its own: one that was kept would not show
 * whether the server still accepts new ones, and may have gone silent.
 */
export class EngineClient {
  /** Reads the load report. */
  readLoad(address: string): ResultAsync<LoadReport, EngineError> {
    return this.read({address, path: '/load', schema: loadReportSchema});
  }

  /** True when the server refuses a new connection. */
  async isRefusing(address: string): Promise<boolean> {
    const report = await this.readLoad(address);
    return report.isErr() && report.error instanceof ConnectError;
  }

  private read<S extends z.ZodType>(
    call: EngineCall<S>,
  ): ResultAsync<z.output<S>, EngineError> {
    const {address, path} = call;
    return ResultAsync.fromPromise(this.send(call), cause =>
      describeFailure(`${address}${path}`, cause),
    );
  }

  private async send<S extends z.ZodType>({
    address,
    path,
    schema,
  }: EngineCall<S>): Promise<z.output<S>> {
    const client = new Client(`http://${address}`);
    try {
      const response = await client.request({
        method: 'GET',
        path,
        signal: AbortSignal.timeout(callDeadlineMs),
      });
      const body = await response.body.text();
      if (response.statusCode !== 200) {
        throw new BackendServerError(`status ${response.statusCode}`);
      }
      return schema.parse(JSON.parse(body));
    } finally {
      await client.destroy();
    }
  }
}

function describeFailure(call: string, cause: unknown): EngineError {
  const {code} = cause as NodeJS.ErrnoException;
  const message = `${call}: ${cause instanceof Error ? cause.message : cause}`;
  return code === 'ECONNREFUSED'
    ? new ConnectError(message, {cause})
    : new BackendServerError(message, {cause});
}
