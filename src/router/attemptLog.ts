/** Fields of the log lines about attempts. */
import type {LogFields} from '../node/log.js';
import type {AdmissionDecision} from './promptAdmission.js';
import type {ForwardedRequest} from './forwardedRequest.js';
import type {Selection} from './selection.js';
import type {StreamProgress} from './streamProgress.js';

/** What is logged about an attempt. */
export interface AttemptFacts {
  readonly request: ForwardedRequest;
  readonly selection: Selection;
  /** Why the attempt ended as it did: a status, a message or a time. */
  readonly cause?: string | number;
  /** Attempts so far. */
  readonly sends: number;
  /** Attempts of these that reached no server; undefined if there are none. */
  readonly unreached: number | undefined;
  readonly admission: AdmissionDecision;
  /** Age of the view of backend servers, in milliseconds. */
  readonly viewAgeMs: number;
  readonly progress: StreamProgress;
  /** True if the customer was beyond its share. */
  readonly isBeyondShare: boolean;
}

/**
 * Lists the inputs and the outcome of a decision, so that it can be explained
 * from the log alone.
 *
 * @example
 * log.logInfo('answered', listAttemptFields(facts));
 */
export function listAttemptFields(facts: AttemptFacts): LogFields {
  const {request, selection, progress} = facts;
  const {exchange, route, urgency, customer, deploymentVersion} = request;
  const {firstEventMs, maxPauseMs} = progress;
  return {
    requestId: exchange.request.attemptId,
    route: route.name,
    deployment: deploymentVersion,
    server: selection.server.id,
    urgency,
    customer,
    isBeyondShare: facts.isBeyondShare || undefined,
    cause: facts.cause,
    sends: facts.sends,
    unreached: facts.unreached,
    unreadTokens: selection.unreadTokens,
    fetchFrom: selection.fetchFrom,
    backlogMs: Math.round(selection.backlogMs),
    slotWaitMs: Math.round(selection.slotWaitMs) || undefined,
    speed: Math.round(selection.speed * 100) / 100,
    viewAgeMs: Math.round(facts.viewAgeMs),
    expectedMs: Math.round(selection.expectedMs),
    admission: facts.admission,
    firstEventMs: firstEventMs && Math.round(firstEventMs),
    maxPauseMs: maxPauseMs > 0 ? Math.round(maxPauseMs) : undefined,
    serverRequests: selection.serverRequests,
    tightStreams: selection.tightStreams,
    ms: Math.round(performance.now() - exchange.startedAtMs),
  };
}
