/** Builds the context of a request from its headers. */
import {err, ok, type Result} from 'neverthrow';
import type {ClassKind, Configuration} from '../config/configuration.js';
import type {Log} from '../node/log.js';
import {CallerHeader} from '../protocol/callerApi.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {tryAuthenticate, type AuthenticatedCustomer} from './authenticator.js';
import type {RequestContext} from './requestContext.js';

/** Longest deadline that a caller can request. */
const maxDeadlineMs = 3_600_000;
const classNamePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const deadlinePattern = /^[1-9]\d{0,6}$/;
const notReadyRetryAfterMs = 500;

export interface ReaderDependencies {
  /** The configuration in force; undefined before this process is ready. */
  getConfiguration: () => Configuration | undefined;
  log: Log;
}

/** A request as received by the HTTP server. */
export interface CallerRequest {
  requestId: string;
  headers: Headers;
  /** Aborts when the caller has disconnected. */
  signal: AbortSignal;
}

/** Checks the key, the request class and the deadline of requests. */
export class RequestReader {
  constructor(private readonly dependencies: ReaderDependencies) {}

  /** Returns the configuration in force; refuses when there is none yet. */
  getConfiguration(): Result<Configuration, Refusal> {
    const configuration = this.dependencies.getConfiguration();
    if (configuration) return ok(configuration);
    return err(
      new Refusal(
        RefusalReason.NotReady,
        Outcome.NotRun,
        'the gateway is not ready yet',
        {retryAfterMs: notReadyRetryAfterMs},
      ),
    );
  }

  authenticate(headers: Headers): Result<AuthenticatedCustomer, Refusal> {
    return this.getConfiguration().andThen(configuration =>
      tryAuthenticate(headers.get('authorization') ?? undefined, configuration),
    );
  }

  /** Builds the context of a request whose class must be of the given kind. */
  buildContext(
    {requestId, headers, signal}: CallerRequest,
    kind: ClassKind,
  ): Result<RequestContext, Refusal> {
    const arrivedAtMs = performance.now();
    const configuration = this.getConfiguration();
    if (configuration.isErr()) return err(configuration.error);
    const authenticated = this.authenticate(headers);
    if (authenticated.isErr()) return err(authenticated.error);
    const {customerId, customer} = authenticated.value;
    const className = readClassName(headers);
    if (className.isErr()) return err(className.error);
    const {classes} = configuration.value;
    const requestClass = Object.hasOwn(classes, className.value)
      ? classes[className.value]
      : undefined;
    if (requestClass?.kind !== kind) {
      return err(buildClassRefusal(className.value));
    }
    if (!customer.classes.includes(className.value)) {
      return err(buildPermissionRefusal(customerId, className.value));
    }
    const deadlineMs = readDeadline(headers, requestClass.deadlineMs);
    if (deadlineMs.isErr()) return err(deadlineMs.error);
    return ok({
      requestId,
      customerId,
      customer,
      className: className.value,
      requestClass,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + deadlineMs.value,
      signal,
      log: this.dependencies.log.with({requestId, class: className.value}),
    });
  }
}

function readClassName(headers: Headers): Result<string, Refusal> {
  const className = headers.get(CallerHeader.Class) ?? '';
  if (classNamePattern.test(className)) return ok(className);
  return err(buildHeaderRefusal(CallerHeader.Class, 'is not a class name'));
}

function readDeadline(
  headers: Headers,
  defaultMs: number,
): Result<number, Refusal> {
  const text = headers.get(CallerHeader.DeadlineMs);
  if (text === null) return ok(defaultMs);
  if (deadlinePattern.test(text) && Number(text) <= maxDeadlineMs) {
    return ok(Number(text));
  }
  return err(
    buildHeaderRefusal(
      CallerHeader.DeadlineMs,
      `must be an integer from 1 to ${maxDeadlineMs}`,
    ),
  );
}

function buildHeaderRefusal(header: CallerHeader, problem: string): Refusal {
  return new Refusal(
    RefusalReason.BadHeader,
    Outcome.NotRun,
    `header ${header} ${problem}`,
  );
}

function buildClassRefusal(className: string): Refusal {
  return new Refusal(
    RefusalReason.UnknownClass,
    Outcome.NotRun,
    `class "${className}" does not exist for this kind of request`,
  );
}

function buildPermissionRefusal(
  customerId: string,
  className: string,
): Refusal {
  return new Refusal(
    RefusalReason.NotPermitted,
    Outcome.NotRun,
    `customer "${customerId}" may not use class "${className}"`,
  );
}
