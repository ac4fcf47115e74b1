/** One attempt to get a streamed answer from a model engine. */
import {createParser} from 'eventsource-parser';
import {CallerHeader, type ChatRequest} from '../protocol/callerApi.js';
import type {EngineChatRequest, EngineChunk} from '../protocol/engineApi.js';
import {
  BackendServerError,
  CrossedAnswerError,
  SilentConnectionError,
} from '../protocol/errors.js';
import {parseEngineChunk} from './engineChunk.js';
import type {EngineConnection} from './engineConnections.js';
import {EngineResponse, ReadKind} from './engineResponse.js';
import type {OutcomeTracker} from './outcomeTracker.js';

/** Longest event of an engine in characters; a chunk takes a few hundred. */
const maxEventLength = 256 * 1024;
/** Time for the end of a response whose answer is whole. */
const drainLimitMs = 1_000;

export enum AttemptEndKind {
  /** The answer is whole. */
  Complete = 'complete',
  ConnectFailed = 'connectFailed',
  /** The engine answered with another status than 200. */
  Rejected = 'rejected',
  /** The connection or the answer broke off, or isn't an answer. */
  Broken = 'broken',
  /** A chunk of another request, or a gap. */
  Crossed = 'crossed',
  Silent = 'silent',
  /** Ended by the gateway. */
  Aborted = 'aborted',
}

/** How an attempt ended. */
export interface AttemptEnd {
  kind: AttemptEndKind;
  error?: Error;
  /** HTTP status of a rejection. */
  statusCode?: number;
}

/** Longest times without a token, in milliseconds. */
export interface SilenceLimits {
  firstTokenMs: number;
  betweenTokensMs: number;
}

/**
 * Takes the next chunk of the answer; the engine is read on when it resolves.
 * False ends the attempt.
 */
export type ChunkTaker = (chunk: EngineChunk) => Promise<boolean>;

export interface AttemptOptions {
  /** Id that the engine must put on each chunk; no other attempt has it. */
  attemptId: string;
  request: ChatRequest;
  priority: number;
  /** Tokens that the caller already holds. */
  resumeFrom: number;
  /** Milliseconds until the caller's deadline. */
  deadlineMs: number;
  /** Asked again for each wait, because a slot may be demoted meanwhile. */
  getLimits: () => SilenceLimits;
  connection: EngineConnection;
  tracker: OutcomeTracker;
  signal: AbortSignal;
  take: ChunkTaker;
  /** Called for a chunk whose index was passed on before. */
  noteRepeated?: () => void;
}

/** Sends the request and passes on its answer. */
export async function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
  const {connection, tracker, signal} = options;
  const response = new EngineResponse(tracker, tracker.noteConnecting());
  const abort = () => response.abort();
  if (signal.aborted) return {kind: AttemptEndKind.Aborted};
  signal.addEventListener('abort', abort, {once: true});
  try {
    sendRequest(options, response);
    const end = await readAnswer(options, response);
    if (end.kind === AttemptEndKind.Complete) {
      endResponse(response, connection);
    } else {
      response.abort();
      connection.close();
    }
    return end;
  } finally {
    signal.removeEventListener('abort', abort);
  }
}

function sendRequest(options: AttemptOptions, response: EngineResponse): void {
  const {attemptId, request, priority, resumeFrom, connection} = options;
  const body: EngineChatRequest = {
    ...request,
    stream: true,
    priority,
    resume_from: resumeFrom,
  };
  connection.dispatcher.dispatch(
    {
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {
        'content-type': 'application/json',
        [CallerHeader.RequestId]: attemptId,
        [CallerHeader.DeadlineMs]: String(Math.ceil(options.deadlineMs)),
      },
      body: JSON.stringify(body),
    },
    response.handler,
  );
}

/** The answer is whole: only the connection's reuse depends on what follows. */
function endResponse(
  response: EngineResponse,
  connection: EngineConnection,
): void {
  void response.drain(drainLimitMs).then(() => connection.close());
}

async function readAnswer(
  options: AttemptOptions,
  response: EngineResponse,
): Promise<AttemptEnd> {
  const reader = new AnswerReader(options);
  for (;;) {
    const result = await response.read(reader.computeLimitMs());
    switch (result.kind) {
      case ReadKind.Bytes: {
        const {statusCode} = response;
        if (statusCode !== 200) return buildRejection(statusCode);
        const end = await reader.accept(result.batch);
        if (end) return end;
        break;
      }
      case ReadKind.End: {
        const {statusCode} = response;
        if (statusCode !== 200) return buildRejection(statusCode);
        return buildBroken('the engine closed before the answer was whole');
      }
      case ReadKind.ConnectFailed:
        return {kind: AttemptEndKind.ConnectFailed, error: result.error};
      case ReadKind.Failed:
        return {kind: AttemptEndKind.Broken, error: result.error};
      case ReadKind.Silent:
        if (reader.computeLimitMs() === 0) return buildSilent();
        break;
      case ReadKind.Aborted:
        return {kind: AttemptEndKind.Aborted};
    }
  }
}

/** Checks an attempt's events and passes on the chunks that are due. */
class AnswerReader {
  private readonly decoder = new TextDecoder();
  private readonly pending: string[] = [];
  private readonly parser = createParser({
    onEvent: event => this.pending.push(event.data),
    onError: ({type}) => {
      if (type === 'max-buffer-size-exceeded') this.isOverlong = true;
    },
    maxBufferSize: maxEventLength,
  });
  private isOverlong = false;
  private nextIndex: number;
  private lastTokenAtMs = performance.now();
  private hasToken = false;

  constructor(private readonly options: AttemptOptions) {
    this.nextIndex = options.resumeFrom;
  }

  /** Milliseconds until the connection counts as silent. */
  computeLimitMs(): number {
    const {firstTokenMs, betweenTokensMs} = this.options.getLimits();
    const limitMs = this.hasToken ? betweenTokensMs : firstTokenMs;
    return Math.max(0, this.lastTokenAtMs + limitMs - performance.now());
  }

  /** Takes bytes; returns the end of the attempt if they bring it. */
  async accept(batch: readonly Buffer[]): Promise<AttemptEnd | undefined> {
    for (const bytes of batch) {
      this.parser.feed(this.decoder.decode(bytes, {stream: true}));
      if (this.isOverlong) {
        return buildBroken(`an event is longer than ${maxEventLength}`);
      }
    }
    for (const data of this.pending.splice(0)) {
      const end = await this.acceptEvent(data);
      if (end) return end;
    }
    return undefined;
  }

  private async acceptEvent(data: string): Promise<AttemptEnd | undefined> {
    if (data === '[DONE]') {
      return buildBroken('the engine ended without a finish reason');
    }
    const chunk = parseEngineChunk(data);
    if (!chunk) return buildBroken('the engine sent a malformed chunk');
    if (chunk.id !== this.options.attemptId) {
      return buildCrossed(`a chunk of request ${chunk.id} arrived`);
    }
    // Already passed on: sent twice, or the engine began before resume_from.
    if (chunk.token_index < this.nextIndex) {
      this.options.noteRepeated?.();
      return undefined;
    }
    if (chunk.token_index > this.nextIndex) {
      return buildCrossed(
        `token ${chunk.token_index} arrived where ${this.nextIndex} was due`,
      );
    }
    this.nextIndex += 1;
    const wanted = await this.options.take(chunk);
    // Restarted here: time that the caller takes is no silence of the engine.
    this.lastTokenAtMs = performance.now();
    this.hasToken = true;
    if (!wanted) return {kind: AttemptEndKind.Aborted};
    return chunk.choices[0].finish_reason === null
      ? undefined
      : {kind: AttemptEndKind.Complete};
  }
}

function buildBroken(message: string): AttemptEnd {
  return {
    kind: AttemptEndKind.Broken,
    error: new BackendServerError(message),
  };
}

function buildCrossed(message: string): AttemptEnd {
  return {
    kind: AttemptEndKind.Crossed,
    error: new CrossedAnswerError(message),
  };
}

function buildSilent(): AttemptEnd {
  return {
    kind: AttemptEndKind.Silent,
    error: new SilentConnectionError('the engine sent no token for too long'),
  };
}

function buildRejection(statusCode: number | undefined): AttemptEnd {
  return {
    kind: AttemptEndKind.Rejected,
    statusCode,
    error: new BackendServerError(`the engine answered ${statusCode}`),
  };
}
