/** HTTP route of calls to plain services. */
import type {Context} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import {
  BackendServerKind,
  ClassKind,
  type Configuration,
} from '../config/configuration.js';
import {CallerHeader} from '../protocol/callerApi.js';
import {
  serviceCallSchema,
  type ServiceAnswer,
  type ServiceCall,
} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {bodyDeadlineMs, readBody} from './bodyReader.js';
import {buildExceptionRefusal} from './chatRoute.js';
import type {CustomerLimits} from './customerLimits.js';
import type {OperationService} from './operationService.js';
import {buildRefusalResponse} from './refusalResponse.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';
import type {CallerRequest, RequestReader} from './requestReader.js';
import type {ServiceDispatcher} from './serviceDispatcher.js';

const pathPattern = /^\/v1\/services\/([A-Za-z0-9._-]+)(\/.*)?$/;
const methodSchema = serviceCallSchema.shape.method;

/** Answers `/v1/services/:service/*`. */
export class ServiceRoute {
  constructor(
    private readonly reader: RequestReader,
    private readonly services: Pick<ServiceDispatcher, 'dispatch'>,
    private readonly operations: Pick<OperationService, 'execute'>,
    private readonly limits: Pick<CustomerLimits, 'accept'>,
  ) {}

  /** Handles one request. */
  async handle(c: Context, request: CallerRequest): Promise<Response> {
    const {requestId} = request;
    const context = this.reader.buildContext(request, ClassKind.Service);
    if (context.isErr()) return buildRefusalResponse(requestId, context.error);
    const {customerId, customer} = context.value;
    const admitted = await this.limits.accept(customerId, customer, false);
    if (admitted.isErr()) {
      return buildRefusalResponse(requestId, admitted.error);
    }
    try {
      return await this.answer(c, request, context.value);
    } finally {
      admitted.value.release();
    }
  }

  private async answer(
    c: Context,
    request: CallerRequest,
    context: RequestContext,
  ): Promise<Response> {
    const {requestId} = request;
    const call = await this.readCall(c.req.raw, context);
    if (call.isErr()) return buildRefusalResponse(requestId, call.error);
    const answer = await this.run(context, request, call.value);
    if (answer.isErr()) return buildRefusalResponse(requestId, answer.error);
    const {status, contentType, body} = answer.value;
    return new Response(Buffer.from(body, 'base64'), {
      status,
      headers: {
        [CallerHeader.RequestId]: requestId,
        [CallerHeader.Outcome]: Outcome.Ran,
        ...(contentType ? {'content-type': contentType} : {}),
      },
    });
  }

  private async run(
    context: RequestContext,
    {headers}: CallerRequest,
    call: ServiceCall,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const key = headers.get(CallerHeader.OperationKey);
    const {repeatable} = context.requestClass;
    if (!repeatable && key === null) return err(buildMissingKeyRefusal());
    const answer =
      repeatable || key === null
        ? this.services.dispatch(context, call)
        : this.operations.execute(context, call, key);
    return answer.catch(cause =>
      err(buildExceptionRefusal(context, Outcome.MayHaveRun, cause)),
    );
  }

  private async readCall(
    raw: Request,
    context: RequestContext,
  ): Promise<Result<ServiceCall, Refusal>> {
    const {pathname, search} = new URL(raw.url);
    const [, service = '', path = '/'] = pathPattern.exec(pathname) ?? [];
    const known = this.reader
      .getConfiguration()
      .map(configuration => hasService(configuration, service));
    if (known.isErr()) return err(known.error);
    if (!known.value) return err(buildServiceRefusal());
    const method = methodSchema.safeParse(raw.method);
    if (!method.success) return err(buildMethodRefusal());
    const body = await readBody(
      raw,
      Math.min(bodyDeadlineMs, computeRemainingMs(context)),
    );
    if (body.isErr()) return err(body.error);
    const contentType = raw.headers.get('content-type');
    return ok({
      service,
      method: method.data,
      path: path + search,
      ...(contentType ? {contentType} : {}),
      body: body.value.toString('base64'),
    });
  }
}

function hasService({backendServers}: Configuration, service: string): boolean {
  return Object.values(backendServers).some(
    server =>
      server.kind === BackendServerKind.PlainService &&
      server.service === service,
  );
}

function buildServiceRefusal(): Refusal {
  return new Refusal(
    RefusalReason.UnknownService,
    Outcome.NotRun,
    'the plain service does not exist',
  );
}

function buildMethodRefusal(): Refusal {
  return new Refusal(
    RefusalReason.NotFound,
    Outcome.NotRun,
    'the method is not supported for plain services',
  );
}

function buildMissingKeyRefusal(): Refusal {
  return new Refusal(
    RefusalReason.OperationKeyMissing,
    Outcome.NotRun,
    'this class needs an operation key',
  );
}
