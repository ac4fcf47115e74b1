/** Sends calls to plain services, one attempt each, on a connection of its own. */
import {err, ok, type Result} from 'neverthrow';
import {Client} from 'undici';
import {BackendServerKind} from '../config/configuration.js';
import {CallerHeader} from '../protocol/callerApi.js';
import {LeaseEnd} from '../protocol/leaseMessages.js';
import type {
  ServiceAnswer,
  ServiceCall,
} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {Lease, LeaseClient} from './leaseClient.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';

/** Largest answer of a plain service in bytes. */
const maxAnswerBytes = 4 * 1024 * 1024;
const connectDeadlineMs = 1_000;

/** Makes one attempt of a call to a plain service. */
export class ServiceDispatcher {
  constructor(private readonly leases: LeaseClient) {}

  /** Waits for a slot and sends the call once. */
  async dispatch(
    context: RequestContext,
    call: ServiceCall,
    operationKey?: string,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const acquired = await this.leases.acquire(context, {
      kind: BackendServerKind.PlainService,
      service: call.service,
    });
    if (acquired.isErr()) return err(acquired.error);
    const lease = acquired.value;
    const result = await sendOnce(lease, call, operationKey);
    this.leases.release(lease, {
      end: result.isOk() ? LeaseEnd.Completed : LeaseEnd.Broken,
      tokens: 0,
      firstTokenMs: performance.now() - lease.grantedAtMs,
    });
    return result;
  }
}

async function sendOnce(
  lease: Lease,
  call: ServiceCall,
  operationKey?: string,
): Promise<Result<ServiceAnswer, Refusal>> {
  const {context} = lease;
  const client = new Client(`http://${lease.address}`, {
    connect: {timeout: connectDeadlineMs},
    maxResponseSize: maxAnswerBytes,
    pipelining: 1,
  });
  try {
    const response = await client.request({
      method: call.method,
      path: call.path,
      headers: {
        [CallerHeader.RequestId]: context.requestId,
        ...(call.contentType ? {'content-type': call.contentType} : {}),
        ...(operationKey ? {[CallerHeader.OperationKey]: operationKey} : {}),
      },
      body: call.body === '' ? null : Buffer.from(call.body, 'base64'),
      signal: AbortSignal.timeout(Math.ceil(computeRemainingMs(context))),
      idempotent: false,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    const contentType = response.headers['content-type'];
    return ok({
      status: response.statusCode,
      ...(typeof contentType === 'string' ? {contentType} : {}),
      body: body.toString('base64'),
    });
  } catch (cause) {
    return err(buildFailure(cause));
  } finally {
    void client.destroy();
  }
}

/** Errors of a connection attempt: no byte of the request was written. */
const connectErrorCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function buildFailure(cause: unknown): Refusal {
  const code = (cause as {code?: string}).code ?? '';
  const connected = !connectErrorCodes.has(code);
  return new Refusal(
    RefusalReason.BackendServerFailed,
    connected ? Outcome.MayHaveRun : Outcome.NotRun,
    connected
      ? 'the plain service did not answer'
      : 'the plain service could not be connected to',
    {cause, ...(connected ? {} : {retryAfterMs: 1_000})},
  );
}
