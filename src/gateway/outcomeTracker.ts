/** Decides the outcome of a request from recorded facts. */
import {Outcome} from '../protocol/outcome.js';

/** How far one attempt to send the request to a backend server got. */
export enum AttemptStage {
  Connecting = 'connecting',
  /** The connection was never opened, so certainly nothing was written. */
  ConnectFailed = 'connectFailed',
  FirstByteWritten = 'firstByteWritten',
  FirstByteReceived = 'firstByteReceived',
}

/** Identifies one attempt when further facts are recorded. */
export type AttemptNumber = number;

/** The recorded facts, for logs. */
export interface OutcomeFacts {
  leasesGranted: number;
  attempts: readonly AttemptStage[];
  chunksPassedOn: number;
  complete: boolean;
}

/**
 * Records what happened to one request over all its attempts. This is the only
 * module that chooses an `Outcome` once a request has acquired a lease.
 *
 * An error on an open connection never withdraws a recorded fact: a backend
 * server may have read the request before a reused connection failed.
 *
 * @example
 * const attempt = tracker.noteConnecting();
 * tracker.noteFirstByteWritten(attempt);
 * tracker.decide() === Outcome.MayHaveRun
 */
export class OutcomeTracker {
  private leasesGranted = 0;
  private readonly attempts: AttemptStage[] = [];
  private chunksPassedOn = 0;
  private complete = false;

  /** A dispatcher granted a slot; nothing was sent to a backend server yet. */
  noteLeaseGranted(): void {
    this.leasesGranted += 1;
  }

  /** An attempt begins; its connection is opened or taken from a pool. */
  noteConnecting(): AttemptNumber {
    this.attempts.push(AttemptStage.Connecting);
    return this.attempts.length - 1;
  }

  /** Opening the connection failed. Ignored once a byte was written. */
  noteConnectFailed(attempt: AttemptNumber): void {
    if (this.attempts[attempt] !== AttemptStage.Connecting) return;
    this.attempts[attempt] = AttemptStage.ConnectFailed;
  }

  /** The first byte is about to be handed to the open connection. */
  noteFirstByteWritten(attempt: AttemptNumber): void {
    if (this.attempts[attempt] === AttemptStage.FirstByteReceived) return;
    this.attempts[attempt] = AttemptStage.FirstByteWritten;
  }

  /** The backend server sent something back. */
  noteFirstByteReceived(attempt: AttemptNumber): void {
    this.attempts[attempt] = AttemptStage.FirstByteReceived;
  }

  /** A chunk of the answer was relayed to the caller. */
  noteChunkRelayed(): void {
    this.chunksPassedOn += 1;
  }

  /** The answer is complete. */
  noteComplete(): void {
    this.complete = true;
  }

  /** True when any attempt wrote its first byte. */
  hasWritten(): boolean {
    return this.attempts.some(
      stage =>
        stage === AttemptStage.FirstByteWritten ||
        stage === AttemptStage.FirstByteReceived,
    );
  }

  /** Decides the outcome from the facts recorded so far. */
  decide(): Outcome {
    if (this.complete) return Outcome.Ran;
    if (this.chunksPassedOn > 0) return Outcome.Partial;
    return this.hasWritten() ? Outcome.MayHaveRun : Outcome.NotRun;
  }

  /** Returns the recorded facts. */
  describe(): OutcomeFacts {
    const {leasesGranted, attempts, chunksPassedOn, complete} = this;
    return {leasesGranted, attempts: [...attempts], chunksPassedOn, complete};
  }
}
