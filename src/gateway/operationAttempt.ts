/** One attempt to run an operation. */
import type {Refusal} from '../protocol/refusal.js';

/** Decides whether an attempt may write. */
export interface DispatchPermit {
  tryDispatch(attempt: OperationAttempt): Refusal | undefined;
}

/** One attempt to run an operation; loses its permission when it ends. */
export class OperationAttempt {
  readonly abortController = new AbortController();

  constructor(private readonly record: DispatchPermit) {}

  /**
   * Must be called right before the first byte is written to a connection
   * that is open. Without a refusal the operation counts as dispatched.
   */
  tryDispatch(): Refusal | undefined {
    return this.record.tryDispatch(this);
  }

  /** Aborts when the record no longer waits for this attempt. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }
}
