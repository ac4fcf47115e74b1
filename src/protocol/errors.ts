/** Typed errors for failures inside a process. */

/** Base class; `name` is the class name, which logs and dumps show. */
export abstract class AnvilstallError extends Error {
  constructor(message: string, options?: {cause?: unknown}) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A settings file or a configuration document does not match its schema. */
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
  /** Description of the allowed values. */
  readonly reason: string;
  /** Description of the value found; never contains a key. */
  readonly found?: string;
}

function formatProblem({path, reason, found}: ValidationProblem): string {
  const end = found === undefined ? '' : `, found ${found}`;
  return `${path || '/'}: ${reason}${end}`;
}

/** A call to a peer failed or exceeded its deadline. */
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

/** The platform refused a call because of its rate limit. */
export class PlatformBusyError extends PlatformError {
  constructor(
    message: string,
    /** Milliseconds after which the platform accepts calls again. */
    readonly retryAfterMs: number,
  ) {
    super(message);
  }
}

/** A patch can't be applied to its base document. */
export class PatchError extends AnvilstallError {}

/** A patch is based on a configuration number that is not the one in force. */
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

/** Connecting to a backend server failed; no byte was sent. */
export class ConnectError extends AnvilstallError {}

/** A backend server failed after at least one byte may have been sent. */
export class BackendServerError extends AnvilstallError {}

/** An answer carries the id of another request. */
export class CrossedAnswerError extends AnvilstallError {}

/** A connection received no data for longer than its idle limit. */
export class SilentConnectionError extends AnvilstallError {}

/** An attempt was given up because another one of its request went on. */
export class SupersededError extends AnvilstallError {}

/** A deadline passed. */
export class DeadlineError extends AnvilstallError {}
