/** Types of slot leases within the gateway. */
import type {Result} from 'neverthrow';
import {
  BackendServerKind,
  BackendServerState,
  type BackendServer,
} from '../config/configuration.js';
import type {Release} from '../protocol/leaseMessages.js';
import type {Refusal} from '../protocol/refusal.js';
import type {RequestContext} from './requestContext.js';

/** The model or service that a request needs. */
export type LeaseTarget =
  | {kind: BackendServerKind.ModelEngine; model: string}
  | {kind: BackendServerKind.PlainService; service: string};

/** How a lease was used, for its release. */
export type LeaseReport = Pick<
  Release,
  'end' | 'tokens' | 'firstTokenMs' | 'betweenTokensMs' | 'slowness'
>;

/** A granted slot of a backend server. */
export interface Lease {
  readonly leaseId: string;
  readonly backendServer: string;
  /** `ip:port` of the backend server. */
  readonly address: string;
  /** Engine priority; a renewal may change it. */
  priority: number;
  /** Tokens produced so far; carried on renewals. */
  tokens: number;
  readonly context: RequestContext;
  /** `performance.now()` at which the grant arrived. */
  readonly grantedAtMs: number;
  readonly fingerprint?: string;
  readonly suspectCount: number;
  /** True while the engine may pause the request in favour of shorter ones. */
  demoted?: boolean;
  /** Called when a renewal brings another engine priority. */
  onPriority?: (priority: number) => void;
}

/** Options of one acquisition. */
export interface AcquireOptions {
  /** Ask this backend server first. */
  prefer?: string;
  /** Backend servers to use only when no other is left. */
  avoid?: ReadonlySet<string>;
  /** Only take a free slot: do not queue, and never use an avoided server. */
  immediateOnly?: boolean;
  /** Cancels the acquisition, in addition to the caller's signal. */
  signal?: AbortSignal;
  /** True when the caller already has a part of the answer. */
  resumed?: boolean;
  fingerprint?: string;
  prefixDigest?: string;
  /** Number of crashes during which the request was in flight. */
  suspectCount?: number;
}

/** Source of slots for requests. */
export interface LeaseSource {
  /** Waits for a slot of one of the target's backend servers. */
  acquire(
    context: RequestContext,
    target: LeaseTarget,
    options?: AcquireOptions,
  ): Promise<Result<Lease, Refusal>>;
  /** Releases a slot. */
  release(lease: Lease, report: LeaseReport): void;
}

/** True when the configuration lets the backend server serve the target. */
export function matchTarget(
  server: BackendServer,
  target: LeaseTarget,
): boolean {
  if (server.state === BackendServerState.Leaving) return false;
  switch (server.kind) {
    case BackendServerKind.ModelEngine:
      return (
        target.kind === server.kind && server.models.includes(target.model)
      );
    case BackendServerKind.PlainService:
      return target.kind === server.kind && server.service === target.service;
  }
}

/** Name of the model or service. */
export function getTargetName(target: LeaseTarget): string {
  switch (target.kind) {
    case BackendServerKind.ModelEngine:
      return target.model;
    case BackendServerKind.PlainService:
      return target.service;
  }
}
