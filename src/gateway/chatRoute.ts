/** HTTP route of chat completion requests. */
import type {Context} from 'hono';
import {streamSSE} from 'hono/streaming';
import {err, ok, type Result} from 'neverthrow';
import {ClassKind} from '../config/configuration.js';
import {
  CallerHeader,
  chatRequestSchema,
  type ChatRequest,
} from '../protocol/callerApi.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {
  bodyDeadlineMs,
  buildMalformedRefusal,
  parseJsonBody,
  readBody,
} from './bodyReader.js';
import type {ChatService} from './chatService.js';
import type {Admission, CustomerLimits} from './customerLimits.js';
import {buildRefusalResponse} from './refusalResponse.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';
import type {CallerRequest, RequestReader} from './requestReader.js';

/** Answers `POST /v1/chat/completions`. */
export class ChatRoute {
  constructor(
    private readonly reader: RequestReader,
    private readonly chat: Pick<ChatService, 'stream' | 'collect'>,
    private readonly limits: Pick<CustomerLimits, 'accept'>,
  ) {}

  /** Handles one request. */
  async handle(c: Context, request: CallerRequest): Promise<Response> {
    const {requestId} = request;
    const context = this.reader.buildContext(request, ClassKind.Model);
    if (context.isErr()) return buildRefusalResponse(requestId, context.error);
    const {customerId, customer} = context.value;
    const admitted = await this.limits.accept(customerId, customer, true);
    if (admitted.isErr()) {
      return buildRefusalResponse(requestId, admitted.error);
    }
    const admission = admitted.value;
    let streaming = false;
    try {
      const chat = await this.readChatRequest(c.req.raw, context.value);
      if (chat.isErr()) return buildRefusalResponse(requestId, chat.error);
      c.header(CallerHeader.RequestId, requestId);
      streaming = chat.value.stream;
      return streaming
        ? this.stream(c, context.value, chat.value, admission)
        : await this.answerWhole(c, context.value, chat.value, admission);
    } finally {
      if (!streaming) admission.release();
    }
  }

  private async answerWhole(
    c: Context,
    context: RequestContext,
    request: ChatRequest,
    admission: Admission,
  ): Promise<Response> {
    const answer = await this.collect(context, request);
    if (answer.isErr()) {
      return buildRefusalResponse(context.requestId, answer.error);
    }
    admission.release(answer.value.usage.completion_tokens);
    return c.json(answer.value);
  }

  private collect(context: RequestContext, request: ChatRequest) {
    return this.chat
      .collect(context, request)
      .catch(cause =>
        err(buildExceptionRefusal(context, Outcome.MayHaveRun, cause)),
      );
  }

  private stream(
    c: Context,
    context: RequestContext,
    request: ChatRequest,
    admission: Admission,
  ): Response {
    return streamSSE(c, async stream => {
      let chunks = 0;
      const result = await this.chat
        .stream(context, request, async chunk => {
          chunks += 1;
          await stream.writeSSE({data: JSON.stringify(chunk)});
        })
        .catch(cause => {
          const outcome = chunks > 0 ? Outcome.Partial : Outcome.MayHaveRun;
          return err(buildExceptionRefusal(context, outcome, cause));
        })
        .finally(() => admission.release(chunks));
      const last = result.isOk()
        ? '[DONE]'
        : JSON.stringify(result.error.toBody(context.requestId));
      await stream.writeSSE({data: last});
    });
  }

  private async readChatRequest(
    raw: Request,
    context: RequestContext,
  ): Promise<Result<ChatRequest, Refusal>> {
    const body = await readBody(
      raw,
      Math.min(bodyDeadlineMs, computeRemainingMs(context)),
    );
    const document = body.andThen(bytes =>
      parseJsonBody(raw.headers.get('content-type'), bytes),
    );
    return document.andThen(value => this.checkChatRequest(value));
  }

  private checkChatRequest(body: unknown): Result<ChatRequest, Refusal> {
    const parsed = chatRequestSchema.safeParse(body);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      const path = issue.path.map(part => `/${String(part)}`).join('');
      return err(buildMalformedRefusal(`${path || '/'}: ${issue.message}`));
    }
    const {model} = parsed.data;
    return this.reader
      .getConfiguration()
      .andThen(({models}) =>
        Object.hasOwn(models, model)
          ? ok(parsed.data)
          : err(
              new Refusal(
                RefusalReason.UnknownModel,
                Outcome.NotRun,
                `model ${JSON.stringify(model.slice(0, 64))} does not exist`,
              ),
            ),
      );
  }
}

/**
 * Logs an exception that was thrown while a route served a request, and builds
 * the refusal for it. The outcome must state what is known to have happened.
 */
export function buildExceptionRefusal(
  context: RequestContext,
  outcome: Outcome,
  cause: unknown,
): Refusal {
  const name = cause instanceof Error ? cause.name : typeof cause;
  context.log.logError('request failed', {error: name});
  return new Refusal(
    RefusalReason.InternalError,
    outcome,
    'the gateway failed to serve the request',
    {cause},
  );
}
