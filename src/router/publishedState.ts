/** Read access to the state that the platform publishes. */
import type {ResultAsync} from 'neverthrow';
import type {EvacuationUpdate} from '../evacuation/evacuationUpdate.js';
import {PlatformError} from '../protocol/errors.js';
import type {PublishedPosition} from '../protocol/publishedPosition.js';
import type {BackendServer, Deployment} from './deployment.js';

/** The platform no longer has the history since the requested revision. */
export class HistoryLostError extends PlatformError {}

export interface PublishedDeployment {
  readonly deployment: Deployment;
  /** The document as published, to serve to other routers. */
  readonly document: string;
}

/**
 * Answer of a read or watch; without a deployment if there is none, or if
 * nothing changed within the wait.
 */
export interface DeploymentChange extends PublishedPosition {
  readonly published?: PublishedDeployment;
  /** Evacuations of availability zones, from the same answer. */
  readonly evacuations: EvacuationUpdate;
}

export interface PublishedServers extends PublishedPosition {
  readonly servers: readonly BackendServer[];
}

/** Numbers of calls to the platform since the start of the process. */
export interface PublishedStateCalls {
  readonly reads: number;
  readonly watches: number;
  readonly failed: number;
}

/** Each call ends at its own timeout or when the signal aborts. */
export interface PublishedStateReader {
  readonly calls: PublishedStateCalls;
  readDeployment(
    signal: AbortSignal,
  ): ResultAsync<DeploymentChange, PlatformError>;
  /**
   * Waits for a newer deployment for at most `waitMs`.
   *
   * @param after - revision from which the watch continues
   */
  watchDeployment(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<DeploymentChange, PlatformError>;
  readServers(
    signal: AbortSignal,
  ): ResultAsync<PublishedServers, PlatformError>;
  /** Decodes a document from a peer; returns undefined if it is invalid. */
  decodeDeployment(document: string): Deployment | undefined;
}
