/** Streams one attempt's answer from a model engine. */
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

/** Longest accepted event in characters; a chunk takes a few hundred. */
const maxEventChars = 256 * 1024;
/** Time to read the end of a response after its answer is complete. */
const drainTimeoutMs = 1_000;

export enum AttemptEndKind {
  /** The answer is complete. */
  Complete = 'complete',
  ConnectFailed = 'connectFailed',
  /** The engine answered with a status other than 200. */
  Rejected = 'rejected',
  /** The connection or the answer was cut off, or the answer is malformed. */
  Broken = 'broken',
  /** A chunk belongs to another request, or a token is missing. */
  Crossed = 'crossed',
  Silent = 'silent',
  /** Aborted by the gateway. */
  Aborted = 'aborted',
}

/** How an attempt ended. */
export interface AttemptEnd {
  kind: AttemptEndKind;
  error?: Error;
  /** HTTP status of a rejection. */
  statusCode?: number;
}

/** Timeouts for the first token and for each later one, in milliseconds. */
export interface TokenTimeouts {
  firstTokenMs: number;
  betweenTokensMs: number;
}

/**
 * Handles the next chunk of the answer. The engine is not read further until it
 * resolves, which gives backpressure. Resolving to false ends the attempt.
 */
export type ChunkHandler = (chunk: EngineChunk) => Promise<boolean>;

export interface AttemptOptions {
  /** Unique id of the attempt, which the engine must put on each chunk. */
  attemptId: string;
  request: ChatRequest;
  priority: number;
  /** Number of tokens that the caller already has. */
  resumeFrom: number;
  /** Milliseconds until the caller's deadline. */
  deadlineMs: number;
  /** Called before each wait, because the lease may be demoted meanwhile. */
  getTokenTimeouts: () => TokenTimeouts;
  connection: EngineConnection;
  tracker: OutcomeTracker;
  signal: AbortSignal;
  onChunk: ChunkHandler;
  /** Called for a chunk whose token was relayed before. */
  onRepeatedToken?: () => void;
}

/** Sends the request and relays its answer. */
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
      drainResponse(response, connection);
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

/**
 * Reads the rest of a response whose answer is complete, so that its connection
 * can be reused.
 */
function drainResponse(
  response: EngineResponse,
  connection: EngineConnection,
): void {
  void response.drain(drainTimeoutMs).then(() => connection.close());
}

async function readAnswer(
  options: AttemptOptions,
  response: EngineResponse,
): Promise<AttemptEnd> {
  const reader = new AnswerReader(options);
  for (;;) {
    const result = await response.read(reader.computeMaxWaitMs());
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
        if (reader.computeMaxWaitMs() === 0) return buildSilent();
        break;
      case ReadKind.Aborted:
        return {kind: AttemptEndKind.Aborted};
    }
  }
}

/** Validates an attempt's events and relays the chunks in token order. */
class AnswerReader {
  private readonly decoder = new TextDecoder();
  private readonly pending: string[] = [];
  private readonly parser = createParser({
    onEvent: event => this.pending.push(event.data),
    onError: ({type}) => {
      if (type === 'max-buffer-size-exceeded') this.isEventTooLong = true;
    },
    maxBufferSize: maxEventChars,
  });
  private isEventTooLong = false;
  private nextIndex: number;
  private lastTokenAtMs = performance.now();
  private hasToken = false;

  constructor(private readonly options: AttemptOptions) {
    this.nextIndex = options.resumeFrom;
  }

  /** Milliseconds until the connection is considered silent. */
  computeMaxWaitMs(): number {
    const {firstTokenMs, betweenTokensMs} = this.options.getTokenTimeouts();
    const limitMs = this.hasToken ? betweenTokensMs : firstTokenMs;
    return Math.max(0, this.lastTokenAtMs + limitMs - performance.now());
  }

  /**
   * Feeds bytes to the parser; returns the end of the attempt if it is reached.
   */
  async accept(batch: readonly Buffer[]): Promise<AttemptEnd | undefined> {
    for (const bytes of batch) {
      this.parser.feed(this.decoder.decode(bytes, {stream: true}));
      if (this.isEventTooLong) {
        return buildBroken(`an event is longer than ${maxEventChars}`);
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
    // Already relayed: sent twice, or the engine started before resume_from.
    if (chunk.token_index < this.nextIndex) {
      this.options.onRepeatedToken?.();
      return undefined;
    }
    if (chunk.token_index > this.nextIndex) {
      return buildCrossed(
        `token ${chunk.token_index} arrived where ${this.nextIndex} was due`,
      );
    }
    this.nextIndex += 1;
    const shouldContinue = await this.options.onChunk(chunk);
    // Restarted here, so that the time taken by a slow caller does not count as
    // silence of the engine.
    this.lastTokenAtMs = performance.now();
    this.hasToken = true;
    if (!shouldContinue) return {kind: AttemptEndKind.Aborted};
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
