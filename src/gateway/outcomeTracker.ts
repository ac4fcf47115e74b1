/** Decides the outcome of a request from recorded facts. */
import {Outcome} from '../protocol/outcome.js';

/** How far one attempt to send the request to a backend server got. */
export enum AttemptStage {
  Connecting = 'connecting',
  /** Proven: the connection was never open, so nothing was written. */
  ConnectFailed = 'connectFailed',
  FirstByteWritten = 'firstByteWritten',
  FirstByteReceived = 'firstByteReceived',
}

/** Handle of one attempt, for the facts that follow. */
export type AttemptNumber = number;

/** The recorded facts, for logs. */
export interface OutcomeFacts {
  leasesGranted: number;
  attempts: readonly AttemptStage[];
  chunksPassedOn: number;
  complete: boolean;
}

/**
 * Records what happened to one request over all its attempts. No other module
 * chooses an `Outcome` for a request that has got as far as a lease.
 *
 * An error of a connection that was already open never takes a fact back: a
 * backend server may have read the request before a reused connection died.
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

  /** A dispatcher granted a slot; nothing was sent to a backend server. */
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

  /** A part of the answer was handed to the caller. */
  noteChunkPassedOn(): void {
    this.chunksPassedOn += 1;
  }

  /** The whole answer is there. */
  noteComplete(): void {
    this.complete = true;
  }

  /** True when an attempt got as far as its first byte. */
  hasWritten(): boolean {
    return this.attempts.some(
      stage =>
        stage === AttemptStage.FirstByteWritten ||
        stage === AttemptStage.FirstByteReceived,
    );
  }

  /** What is known of the request now. */
  decide(): Outcome {
    if (this.complete) return Outcome.Ran;
    if (this.chunksPassedOn > 0) return Outcome.Partial;
    return this.hasWritten() ? Outcome.MayHaveRun : Outcome.NotRun;
  }

  /** Returns the facts. */
  describe(): OutcomeFacts {
    const {leasesGranted, attempts, chunksPassedOn, complete} = this;
    return {leasesGranted, attempts: [...attempts], chunksPassedOn, complete};
  }
}
