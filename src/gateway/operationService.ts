/** Runs non-repeatable operations at most once. */
import {err, ok, type Result} from 'neverthrow';
import type {DaemonNode} from '../node/daemonNode.js';
import {
  OperationResultKind,
  type ExecuteOperation,
  type OperationResult,
  type ServiceAnswer,
  type ServiceCall,
  type TakeOver,
} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import type {GatewayHandlers} from '../protocol/peerRouter.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {ExpiryClock} from './expiryClock.js';
import {OperationExecutor, type OperationSender} from './operationExecutor.js';
import type {OperationKey, PrefixSealer} from './operationPrefix.js';
import {OperationRecords} from './operationRecords.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';

/** Holds the records of the operations that this process issued prefixes for. */
export class OperationService implements GatewayHandlers {
  readonly records: OperationRecords;
  private readonly executor: OperationExecutor;

  constructor(
    private readonly node: DaemonNode,
    private readonly sealer: PrefixSealer,
    sender: OperationSender,
    clock: ExpiryClock,
  ) {
    this.records = new OperationRecords(clock);
    this.executor = new OperationExecutor(this.records, sender);
  }

  /** Runs an operation here or at the issuer of its key. */
  async execute(
    context: RequestContext,
    call: ServiceCall,
    operationKey: string,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    const parsed = this.sealer.parse(operationKey, context.customerId);
    if (parsed.isErr()) return err(parsed.error);
    const {issuer, peerAddress} = parsed.value;
    if (issuer === this.node.membership.getSelf().incarnation) {
      return this.executeHere(context, call, parsed.value);
    }
    const deadlineMs = computeRemainingMs(context);
    const forwarded = await this.node.links.callGateway(
      peerAddress,
      deadlineMs,
      (client, signal) =>
        client.operations.execute.mutate(
          {
            requestId: context.requestId,
            issuer,
            customer: context.customerId,
            className: context.className,
            operationKey,
            deadlineMs,
            call,
          },
          {signal},
        ),
    );
    if (forwarded.isErr()) return err(buildIssuerRefusal());
    return parseResult(forwarded.value);
  }

  async executeOperation(request: ExecuteOperation): Promise<OperationResult> {
    const self = this.node.membership.getSelf().incarnation;
    if (request.issuer !== self) return buildResult(err(buildIssuerRefusal()));
    const configuration = this.node.config.getConfiguration();
    const customer = configuration?.customers[request.customer];
    const requestClass = configuration?.classes[request.className];
    if (!customer || !requestClass) {
      return buildResult(err(buildIssuerRefusal()));
    }
    const context: RequestContext = {
      requestId: request.requestId,
      customerId: request.customer,
      customer,
      className: request.className,
      requestClass,
      arrivedAtMs: performance.now(),
      deadlineAtMs: performance.now() + request.deadlineMs,
      signal: new AbortController().signal,
      log: this.node.log.with({requestId: request.requestId}),
    };
    const key = this.sealer.parse(request.operationKey, request.customer);
    if (key.isErr()) return buildResult(err(key.error));
    if (key.value.issuer !== request.issuer) {
      return buildResult(err(buildIssuerRefusal()));
    }
    return buildResult(
      await this.executeHere(context, request.call, key.value),
    );
  }

  async takeOver(_takeOver: TakeOver): Promise<void> {
    throw new Refusal(
      RefusalReason.NotReady,
      Outcome.NotRun,
      'this gateway takes no records over',
    );
  }

  private executeHere(
    context: RequestContext,
    call: ServiceCall,
    {text, issuer, customerId, expiresAtMs}: OperationKey,
  ): Promise<Result<ServiceAnswer, Refusal>> {
    return this.executor.execute(context, call, {
      operationKey: text,
      issuer,
      customerId,
      expiresAtMs,
    });
  }
}

function buildResult(result: Result<ServiceAnswer, Refusal>): OperationResult {
  if (result.isOk()) {
    return {kind: OperationResultKind.Answered, answer: result.value};
  }
  const {reason, outcome, message, retryAfterMs} = result.error;
  return {
    kind: OperationResultKind.Refused,
    reason,
    outcome,
    message,
    retryAfterMs,
  };
}

function parseResult(result: OperationResult): Result<ServiceAnswer, Refusal> {
  switch (result.kind) {
    case OperationResultKind.Answered:
      return ok(result.answer);
    case OperationResultKind.Refused: {
      const {reason, outcome, message, retryAfterMs} = result;
      return err(new Refusal(reason, outcome, message, {retryAfterMs}));
    }
  }
}

function buildIssuerRefusal(): Refusal {
  return new Refusal(
    RefusalReason.IssuerUnavailable,
    Outcome.MayHaveRun,
    'the gateway that issued the operation prefix does not answer',
  );
}
