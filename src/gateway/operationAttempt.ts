/** One attempt to run an operation. */
import type {Refusal} from '../protocol/refusal.js';

/** Decides whether an attempt may write to a backend server. */
export interface DispatchGuard {
  tryDispatch(attempt: OperationAttempt): Refusal | undefined;
}

/** An attempt to run an operation; may not write once it has ended. */
export class OperationAttempt {
  readonly abortController = new AbortController();

  constructor(private readonly record: DispatchGuard) {}

  /**
   * Must be called right before the first byte is written to an open
   * connection. Unless it returns a refusal, the operation counts as
   * dispatched.
   */
  tryDispatch(): Refusal | undefined {
    return this.record.tryDispatch(this);
  }

  /** Aborts when the record no longer waits for this attempt. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }
}
