/** Client of the platform's configuration service and VM list. */
import {ResultAsync} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import type {z} from 'zod';
import {PlatformBusyError, PlatformError} from '../protocol/errors.js';
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

/** Deadline of a plain read; the platform normally answers in a few ms. */
const readDeadlineMs = 1_000;
/** Time allowed for the response of a watch after the end of its wait. */
const watchResponseMarginMs = 500;
/** Wait after status 429 without a `retry-after` header. */
const defaultRetryAfterMs = 1_000;

/** Number of calls since the start of the process, for the dump. */
export interface PlatformCalls {
  heads: number;
  watches: number;
  changes: number;
  documents: number;
  vmLists: number;
  failed: number;
  /** Calls refused by the rate limit; also counted in `failed`. */
  refused: number;
}

interface ReadOptions {
  kind: keyof PlatformCalls;
  signal: AbortSignal;
  deadlineMs: number;
}

/** Reads data that the platform publishes; each call has a deadline. */
export class PlatformClient {
  private readonly calls: PlatformCalls = {
    heads: 0,
    watches: 0,
    changes: 0,
    documents: 0,
    vmLists: 0,
    failed: 0,
    refused: 0,
  };
  /** The last VM list with its entity tag, for conditional reads. */
  private cachedVmList: {etag: string; list: VmList} | undefined;

  constructor(
    private readonly configUrl: string,
    private readonly vmListUrl: string,
  ) {}

  /** Reads the number and digest of the newest document. */
  readHead(signal: AbortSignal): ResultAsync<ConfigHead, PlatformError> {
    return this.read(`${this.configUrl}/v1/config/head`, configHeadSchema, {
      kind: 'heads',
      signal,
      deadlineMs: readDeadlineMs,
    });
  }

  /** Waits until the head number exceeds `after`, at most for `waitMs`. */
  watchHead(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<ConfigHead, PlatformError> {
    const url = `${this.configUrl}/v1/config/watch?after=${after}&waitMs=${waitMs}`;
    const deadlineMs = waitMs + watchResponseMarginMs;
    const kind = 'watches';
    return this.read(url, configHeadSchema, {kind, signal, deadlineMs});
  }

  /** Reads the changes after a number. */
  readChanges(
    after: number,
    signal: AbortSignal,
  ): ResultAsync<ConfigChanges, PlatformError> {
    const url = `${this.configUrl}/v1/config/changes?after=${after}`;
    const deadlineMs = readDeadlineMs;
    const kind = 'changes';
    return this.read(url, configChangesSchema, {kind, signal, deadlineMs});
  }

  /** Reads the newest document. */
  readDocument(
    signal: AbortSignal,
  ): ResultAsync<ConfigDocument, PlatformError> {
    const url = `${this.configUrl}/v1/config/document`;
    const deadlineMs = readDeadlineMs;
    const kind = 'documents';
    return this.read(url, configDocumentSchema, {kind, signal, deadlineMs});
  }

  /** Reads the VM list, which lags; an unchanged list is not sent again. */
  readVmList(signal: AbortSignal): ResultAsync<VmList, PlatformError> {
    const url = `${this.vmListUrl}/v1/vms`;
    const options: ReadOptions = {
      kind: 'vmLists',
      signal,
      deadlineMs: readDeadlineMs,
    };
    return this.tryRead(url, options, async () => {
      const last = this.cachedVmList;
      const headers: Record<string, string> = {};
      if (last) headers['if-none-match'] = last.etag;
      const response = await this.fetch(url, options, headers);
      if (last && response.statusCode === 304) {
        await response.body.dump();
        return last.list;
      }
      const list = vmListSchema.parse(await readBody(url, response));
      const {etag} = response.headers;
      this.cachedVmList = typeof etag === 'string' ? {etag, list} : undefined;
      return list;
    });
  }

  /** Returns the call counts for the dump. */
  describeCalls(): PlatformCalls {
    return {...this.calls};
  }

  private read<S extends z.ZodType>(
    url: string,
    schema: S,
    options: ReadOptions,
  ): ResultAsync<z.output<S>, PlatformError> {
    return this.tryRead(url, options, async () => {
      const response = await this.fetch(url, options, {});
      return schema.parse(await readBody(url, response));
    });
  }

  private tryRead<T>(
    url: string,
    {kind}: ReadOptions,
    run: () => Promise<T>,
  ): ResultAsync<T, PlatformError> {
    this.calls[kind] += 1;
    return ResultAsync.fromPromise(run(), cause => {
      this.calls.failed += 1;
      if (cause instanceof PlatformBusyError) this.calls.refused += 1;
      return cause instanceof PlatformError
        ? cause
        : new PlatformError(`${url}: ${String(cause)}`, {cause});
    });
  }

  private fetch(
    url: string,
    {signal, deadlineMs}: ReadOptions,
    headers: Record<string, string>,
  ): Promise<Dispatcher.ResponseData> {
    const deadline = AbortSignal.timeout(deadlineMs);
    return request(url, {
      headers,
      signal: AbortSignal.any([signal, deadline]),
    });
  }
}

async function readBody(
  url: string,
  response: Dispatcher.ResponseData,
): Promise<unknown> {
  if (response.statusCode === 200) return response.body.json();
  await response.body.dump();
  const message = `${url}: status ${response.statusCode}`;
  if (response.statusCode !== 429) throw new PlatformError(message);
  const seconds = Number(response.headers['retry-after']);
  const retryAfterMs = seconds > 0 ? seconds * 1_000 : defaultRetryAfterMs;
  throw new PlatformBusyError(message, retryAfterMs);
}
