/** Error classes for failures inside a process. Each failure has a type. */

/** Base class; `name` is the type that logs and dumps show. */
export abstract class AnvilstallError extends Error {
  constructor(message: string, options?: {cause?: unknown}) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A settings file or a configuration document breaks its schema. */
export class ValidationError extends AnvilstallError {
  constructor(
    readonly subject: string,
    readonly problems: readonly ValidationProblem[],
  ) {
    super(`${subject} is not valid: ${problems.map(formatProblem).join('; ')}`);
  }
}

/** One fault in a checked document. */
export interface ValidationProblem {
  /** JSON pointer to the value, e.g. `/classes/caption/tier`. */
  readonly path: string;
  /** What is allowed. */
  readonly reason: string;
  /** What was found; never a key. */
  readonly found?: string;
}

function formatProblem({path, reason, found}: ValidationProblem): string {
  const end = found === undefined ? '' : `, found ${found}`;
  return `${path || '/'}: ${reason}${end}`;
}

/** A call to a peer failed or took longer than its deadline. */
export class PeerError extends AnvilstallError {
  constructor(
    readonly peer: string,
    message: string,
    options?: {cause?: unknown},
  ) {
    super(`peer ${peer}: ${message}`, options);
  }
}

/** A call to the platform failed. */
export class PlatformError extends AnvilstallError {}

/** The platform refused a call because its rate limit is reached. */
export class PlatformBusyError extends PlatformError {
  constructor(
    message: string,
    /** Milliseconds after which the platform takes calls again. */
    readonly retryAfterMs: number,
  ) {
    super(message);
  }
}

/** A patch doesn't apply to the document that it names. */
export class PatchError extends AnvilstallError {}

/** A patch names a number that is not the one in force. */
export class StalePatchError extends AnvilstallError {
  constructor(
    readonly baseNumber: number,
    readonly numberInForce: number,
  ) {
    super(
      `patch is against number ${baseNumber}, but number ${numberInForce} is in force`,
    );
  }
}

/** A backend server could not be connected to: no byte was sent. */
export class ConnectError extends AnvilstallError {}

/** A backend server failed after at least one byte may have been sent. */
export class BackendServerError extends AnvilstallError {}

/** An answer carries another request's id. */
export class CrossedAnswerError extends AnvilstallError {}

/** A connection produced nothing for longer than its limit. */
export class SilentConnectionError extends AnvilstallError {}

/** A deadline passed. */
export class DeadlineError extends AnvilstallError {}
