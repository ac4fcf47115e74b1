/** HTTP interface for callers. */
import crypto from 'node:crypto';
import {serve} from '@hono/node-server';
import {Hono, type Context} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {streamSSE} from 'hono/streaming';
import {err, ok, type Result} from 'neverthrow';
import {ClassKind, type Configuration} from '../config/configuration.js';
import type {DaemonNode} from '../node/daemonNode.js';
import {
  CallerHeader,
  chatRequestSchema,
  maxBodyBytes,
  type ChatRequest,
} from '../protocol/callerApi.js';
import {
  serviceCallSchema,
  type ServiceCall,
} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {AddressAnswers} from './addressAnswers.js';
import {tryAuthenticate, type AuthenticatedCustomer} from './authenticator.js';
import type {ChatService} from './chatService.js';
import type {OperationService} from './operationService.js';
import type {RequestContext} from './requestContext.js';
import type {ServiceDispatcher} from './serviceDispatcher.js';

export interface CallerServices {
  addresses: AddressAnswers;
  chat: ChatService;
  services: ServiceDispatcher;
  operations: OperationService;
}

/** Listens for callers and answers them. */
export class CallerServer {
  private server: ReturnType<typeof serve> | undefined;

  constructor(
    private readonly node: DaemonNode,
    private readonly services: CallerServices,
  ) {}

  /** Starts to listen. */
  async start(): Promise<void> {
    const app = this.buildApp();
    const {address, ports} = this.node.settings;
    await new Promise<void>((resolve, reject) => {
      this.server = serve(
        {fetch: app.fetch, hostname: address, port: ports.callers},
        () => resolve(),
      );
      this.server.once('error', reject);
    });
  }

  /** Stops to listen and waits for open connections. */
  async stop(): Promise<void> {
    await new Promise<void>(resolve => this.server?.close(() => resolve()));
  }

  private buildApp(): Hono {
    const app = new Hono();
    app.use(
      '*',
      bodyLimit({
        maxSize: maxBodyBytes,
        onError: () =>
          this.refuse(
            crypto.randomUUID(),
            new Refusal(
              RefusalReason.BodyTooLarge,
              Outcome.NotRun,
              `the body is larger than ${maxBodyBytes} bytes`,
            ),
          ),
      }),
    );
    app.get('/v1/addresses', c => this.handleAddresses(c));
    app.post('/v1/chat/completions', c => this.handleChat(c));
    app.all('/v1/services/:service/*', c => this.handleService(c));
    return app;
  }

  private handleAddresses(c: Context): Response {
    const requestId = crypto.randomUUID();
    const customer = this.authenticate(c);
    if (customer.isErr()) return this.refuse(requestId, customer.error);
    const zone = c.req.query('zone') ?? this.node.settings.zone;
    const {customerId} = customer.value;
    return c.json(this.services.addresses.build(customerId, zone));
  }

  private async handleChat(c: Context): Promise<Response> {
    const requestId = crypto.randomUUID();
    const context = this.buildContext(c, requestId, ClassKind.Model);
    if (context.isErr()) return this.refuse(requestId, context.error);
    const body: unknown = await c.req.json().catch(() => undefined);
    const request = this.checkChatRequest(body);
    if (request.isErr()) return this.refuse(requestId, request.error);
    c.header(CallerHeader.RequestId, requestId);
    if (request.value.stream) {
      return this.streamChat(c, context.value, request.value);
    }
    const result = await this.services.chat.collect(
      context.value,
      request.value,
    );
    if (result.isErr()) return this.refuse(requestId, result.error);
    return c.json(result.value);
  }

  private streamChat(
    c: Context,
    context: RequestContext,
    request: ChatRequest,
  ): Response {
    return streamSSE(c, async stream => {
      const result = await this.services.chat.stream(
        context,
        request,
        async chunk => stream.writeSSE({data: JSON.stringify(chunk)}),
      );
      const last = result.isOk()
        ? '[DONE]'
        : JSON.stringify(result.error.toBody(context.requestId));
      await stream.writeSSE({data: last});
    });
  }

  private async handleService(c: Context): Promise<Response> {
    const requestId = crypto.randomUUID();
    const context = this.buildContext(c, requestId, ClassKind.Service);
    if (context.isErr()) return this.refuse(requestId, context.error);
    const call = await this.buildCall(c);
    const operationKey = c.req.header(CallerHeader.OperationKey);
    const result = context.value.requestClass.repeatable
      ? await this.services.services.dispatch(context.value, call)
      : operationKey === undefined
        ? err(buildMissingKeyRefusal())
        : await this.services.operations.execute(
            context.value,
            call,
            operationKey,
          );
    if (result.isErr()) return this.refuse(requestId, result.error);
    const {status, contentType, body} = result.value;
    return new Response(Buffer.from(body, 'base64'), {
      status,
      headers: {
        [CallerHeader.RequestId]: requestId,
        [CallerHeader.Outcome]: Outcome.Ran,
        ...(contentType ? {'content-type': contentType} : {}),
      },
    });
  }

  private async buildCall(c: Context): Promise<ServiceCall> {
    const service = c.req.param('service') ?? '';
    const url = new URL(c.req.url);
    const path = url.pathname.slice(`/v1/services/${service}`.length);
    const contentType = c.req.header('content-type');
    return {
      service,
      method: serviceCallSchema.shape.method.parse(c.req.method),
      path: path + url.search,
      ...(contentType ? {contentType} : {}),
      body: Buffer.from(await c.req.arrayBuffer()).toString('base64'),
    };
  }

  private authenticate(c: Context): Result<AuthenticatedCustomer, Refusal> {
    return this.getConfiguration().andThen(configuration =>
      tryAuthenticate(c.req.header('authorization'), configuration),
    );
  }

  private getConfiguration(): Result<Configuration, Refusal> {
    const configuration = this.node.config.getConfiguration();
    if (configuration) return ok(configuration);
    return err(
      new Refusal(
        RefusalReason.NotReady,
        Outcome.NotRun,
        'no configuration is in force yet',
        {retryAfterMs: 500},
      ),
    );
  }

  private buildContext(
    c: Context,
    requestId: string,
    kind: ClassKind,
  ): Result<RequestContext, Refusal> {
    const configuration = this.getConfiguration();
    if (configuration.isErr()) return err(configuration.error);
    const authenticated = this.authenticate(c);
    if (authenticated.isErr()) return err(authenticated.error);
    const {customerId, customer} = authenticated.value;
    const className = c.req.header(CallerHeader.Class) ?? '';
    const requestClass = Object.hasOwn(configuration.value.classes, className)
      ? configuration.value.classes[className]
      : undefined;
    if (!requestClass || requestClass.kind !== kind) {
      return err(
        new Refusal(
          RefusalReason.UnknownClass,
          Outcome.NotRun,
          `class "${className}" does not exist for this kind of request`,
        ),
      );
    }
    if (!customer.classes.includes(className)) {
      return err(
        new Refusal(
          RefusalReason.NotPermitted,
          Outcome.NotRun,
          `customer "${customerId}" may not use class "${className}"`,
        ),
      );
    }
    const arrivedAtMs = performance.now();
    const deadlineMs = Number(
      c.req.header(CallerHeader.DeadlineMs) ?? requestClass.deadlineMs,
    );
    return ok({
      requestId,
      customerId,
      customer,
      className,
      requestClass,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + deadlineMs,
      signal: c.req.raw.signal,
      log: this.node.log.with({requestId, class: className}),
    });
  }

  private checkChatRequest(body: unknown): Result<ChatRequest, Refusal> {
    const parsed = chatRequestSchema.safeParse(body);
    if (!parsed.success) {
      return err(
        new Refusal(
          RefusalReason.MalformedBody,
          Outcome.NotRun,
          parsed.error.issues[0]?.message ?? 'the body is not valid',
        ),
      );
    }
    const models = this.node.config.getConfiguration()?.models ?? {};
    if (!Object.hasOwn(models, parsed.data.model)) {
      return err(
        new Refusal(
          RefusalReason.UnknownModel,
          Outcome.NotRun,
          `model "${parsed.data.model}" does not exist`,
        ),
      );
    }
    return ok(parsed.data);
  }

  private refuse(requestId: string, refusal: Refusal): Response {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      [CallerHeader.RequestId]: requestId,
      [CallerHeader.Outcome]: refusal.outcome,
    };
    if (refusal.retryAfterMs !== undefined) {
      headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / 1000));
    }
    const body = JSON.stringify(refusal.toBody(requestId));
    return new Response(body, {status: refusal.status, headers});
  }
}

function buildMissingKeyRefusal(): Refusal {
  return new Refusal(
    RefusalReason.OperationKeyMissing,
    Outcome.NotRun,
    'this class needs an operation key',
  );
}
