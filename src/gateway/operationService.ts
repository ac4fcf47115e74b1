/** Runs non-repeatable operations at most once, locally or at their issuer. */
import {err} from 'neverthrow';
import type {Configuration} from '../config/configuration.js';
import type {Log} from '../node/log.js';
import type {
  ExecuteOperation,
  OperationResult,
  ServiceCall,
  TakeOver,
} from '../protocol/operationMessages.js';
import {Outcome} from '../protocol/outcome.js';
import type {GatewayHandlers} from '../protocol/peerRouter.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {ExpiryClock} from './expiryClock.js';
import type {GatewayPeers} from './gatewayPeers.js';
import {IssuerRouteKind, type IssuerDirectory} from './issuerDirectory.js';
import type {OperationExecutor} from './operationExecutor.js';
import type {OperationKey, PrefixSigner} from './operationPrefix.js';
import {buildExpiredRefusal, type OperationAnswer} from './operationRecord.js';
import {retentionMs, type OperationRecords} from './operationRecords.js';
import {decodeAnswer, encodeAnswer} from './operationResults.js';
import type {OperationTakeover} from './operationTakeover.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';

/** Part of a deadline that is reserved for the issuer's answer to arrive. */
const maxForwardMarginMs = 50;
const forwardMarginShare = 0.1;
const retryAfterMs = 1_000;

export interface OperationDependencies {
  signer: PrefixSigner;
  clock: ExpiryClock;
  records: OperationRecords;
  executor: OperationExecutor;
  directory: IssuerDirectory;
  takeover: OperationTakeover;
  peers: GatewayPeers;
  getConfiguration: () => Configuration | undefined;
  log: Log;
}

/** Accepts operations from callers and from other gateways. */
export class OperationService implements GatewayHandlers {
  constructor(private readonly dependencies: OperationDependencies) {}

  /** Runs an operation locally or at the gateway responsible for its key. */
  async execute(
    context: RequestContext,
    call: ServiceCall,
    operationKey: string,
  ): Promise<OperationAnswer> {
    const {signer, clock} = this.dependencies;
    const key = signer.parse(operationKey, context.customerId);
    if (key.isErr()) return err(key.error);
    if (clock.getNowMs() >= key.value.expiresAtMs + retentionMs) {
      return err(buildExpiredRefusal(Outcome.MayHaveRun));
    }
    return this.executeWithParsedKey(context, call, key.value);
  }

  async executeOperation(request: ExecuteOperation): Promise<OperationResult> {
    const key = this.dependencies.signer.parse(
      request.operationKey,
      request.customer,
    );
    if (key.isErr()) return encodeAnswer(err(key.error));
    const context = this.buildContext(request);
    // Only requests for issuers that this gateway is, or was, responsible for
    // are accepted, so that requests can't be forwarded in a loop.
    const {directory} = this.dependencies;
    const known =
      directory.isResponsible(request.issuer) ||
      directory.isHandedOver(request.issuer);
    if (!context || !known || key.value.issuer !== request.issuer) {
      return encodeAnswer(err(buildIssuerRefusal()));
    }
    return encodeAnswer(
      await this.executeWithParsedKey(context, request.call, key.value),
    );
  }

  async takeOver(takeOver: TakeOver): Promise<void> {
    this.dependencies.takeover.receive(takeOver);
  }

  private async executeWithParsedKey(
    context: RequestContext,
    call: ServiceCall,
    key: OperationKey,
  ): Promise<OperationAnswer> {
    const {directory, records} = this.dependencies;
    // A recorded result stays valid after the handover.
    if (directory.isHandedOver(key.issuer)) {
      const final = records.find(key.text)?.getResult();
      if (final) return this.executeLocally(context, call, key);
    }
    const route = directory.resolve(key.issuer, key.peerAddress);
    switch (route.kind) {
      case IssuerRouteKind.Here:
        return this.executeLocally(context, call, key);
      case IssuerRouteKind.Peer:
        return this.forward(context, call, key, route.peerAddress);
      case IssuerRouteKind.Unavailable:
        return err(buildIssuerRefusal());
    }
  }

  private executeLocally(
    context: RequestContext,
    call: ServiceCall,
    {text, issuer, customerId, expiresAtMs}: OperationKey,
  ): Promise<OperationAnswer> {
    return this.dependencies.executor.execute(context, call, {
      operationKey: text,
      issuer,
      customerId,
      expiresAtMs,
    });
  }

  private async forward(
    context: RequestContext,
    call: ServiceCall,
    key: OperationKey,
    address: string,
  ): Promise<OperationAnswer> {
    const remainingMs = computeRemainingMs(context);
    if (remainingMs === 0) return err(buildIssuerRefusal());
    const marginMs = Math.min(
      maxForwardMarginMs,
      remainingMs * forwardMarginShare,
    );
    const forwarded = await this.dependencies.peers.executeOperation(
      address,
      {
        requestId: context.requestId,
        issuer: key.issuer,
        customer: context.customerId,
        className: context.className,
        operationKey: key.text,
        deadlineMs: remainingMs - marginMs,
        call,
      },
      remainingMs,
    );
    if (forwarded.isOk()) return decodeAnswer(forwarded.value);
    context.log.warn('issuer did not answer a forwarded operation', {
      issuer: key.issuer,
      error: forwarded.error.message,
    });
    return err(buildIssuerRefusal(forwarded.error));
  }

  private buildContext(request: ExecuteOperation): RequestContext | undefined {
    const configuration = this.dependencies.getConfiguration();
    const {requestId, className, customer: customerId} = request;
    const customer = configuration?.customers[customerId];
    const requestClass = configuration?.classes[className];
    if (!customer || !requestClass) return undefined;
    const arrivedAtMs = performance.now();
    return {
      requestId,
      customerId,
      customer,
      className,
      requestClass,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + request.deadlineMs,
      // The operation isn't cancelled when the forwarding gateway disconnects;
      // it is still bounded by the deadline.
      signal: new AbortController().signal,
      log: this.dependencies.log.with({requestId}),
    };
  }
}

function buildIssuerRefusal(cause?: unknown): Refusal {
  return new Refusal(
    RefusalReason.IssuerUnavailable,
    Outcome.MayHaveRun,
    'the gateway that issued the operation prefix does not answer',
    {retryAfterMs, cause},
  );
}
