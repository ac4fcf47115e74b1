/** Reads of the platform's configuration service and VM list. */
import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {z} from 'zod';
import {PlatformError} from '../protocol/errors.js';
import {
  configChangesSchema,
  configDocumentSchema,
  configHeadSchema,
  vmListSchema,
  type ConfigChanges,
  type ConfigDocument,
  type ConfigHead,
  type VmList,
} from '../protocol/platformApi.js';

/** Deadline of a plain read in milliseconds. */
const readDeadlineMs = 2_000;

/** Reads what the platform publishes; each call has a deadline. */
export class PlatformClient {
  constructor(
    private readonly configUrl: string,
    private readonly vmListUrl: string,
  ) {}

  /** Reads number and digest of the newest document. */
  readHead(signal: AbortSignal): ResultAsync<ConfigHead, PlatformError> {
    return this.read(`${this.configUrl}/v1/config/head`, configHeadSchema, {
      signal,
      deadlineMs: readDeadlineMs,
    });
  }

  /** Waits until the head is above `after`, or for `waitMs`. */
  watchHead(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<ConfigHead, PlatformError> {
    const url = `${this.configUrl}/v1/config/watch?after=${after}&waitMs=${waitMs}`;
    const deadlineMs = waitMs + readDeadlineMs;
    return this.read(url, configHeadSchema, {signal, deadlineMs});
  }

  /** Reads the changes after a number. */
  readChanges(
    after: number,
    signal: AbortSignal,
  ): ResultAsync<ConfigChanges, PlatformError> {
    const url = `${this.configUrl}/v1/config/changes?after=${after}`;
    const deadlineMs = readDeadlineMs;
    return this.read(url, configChangesSchema, {signal, deadlineMs});
  }

  /** Reads the newest document. */
  readDocument(
    signal: AbortSignal,
  ): ResultAsync<ConfigDocument, PlatformError> {
    const url = `${this.configUrl}/v1/config/document`;
    const deadlineMs = readDeadlineMs;
    return this.read(url, configDocumentSchema, {signal, deadlineMs});
  }

  /** Reads the lagging VM list. */
  readVmList(signal: AbortSignal): ResultAsync<VmList, PlatformError> {
    const deadlineMs = readDeadlineMs;
    return this.read(`${this.vmListUrl}/v1/vms`, vmListSchema, {
      signal,
      deadlineMs,
    });
  }

  private read<S extends z.ZodType>(
    url: string,
    schema: S,
    {signal, deadlineMs}: {signal: AbortSignal; deadlineMs: number},
  ): ResultAsync<z.output<S>, PlatformError> {
    const attempt = async (): Promise<z.output<S>> => {
      const deadline = AbortSignal.timeout(deadlineMs);
      const response = await request(url, {
        signal: AbortSignal.any([signal, deadline]),
      });
      const body = await response.body.json();
      if (response.statusCode !== 200) {
        throw new PlatformError(`${url}: status ${response.statusCode}`);
      }
      return schema.parse(body);
    };
    return ResultAsync.fromPromise(attempt(), cause =>
      cause instanceof PlatformError
        ? cause
        : new PlatformError(`${url}: ${String(cause)}`, {cause}),
    );
  }
}
