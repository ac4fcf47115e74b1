/** Acquires slot leases from the dispatchers that own the backend servers. */
import {err, ok, type Result} from 'neverthrow';
import type {Configuration} from '../config/configuration.js';
import {waitFor} from '../node/delay.js';
import {LeaseEnd, type Acquire} from '../protocol/leaseMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import {CandidateChooser} from './candidateChooser.js';
import {CandidateLists} from './candidateLists.js';
import type {DispatcherCalls} from './dispatcherCalls.js';
import {HeldLeases} from './heldLeases.js';
import {
  getTargetName,
  type AcquireOptions,
  type Lease,
  type LeaseReport,
  type LeaseSource,
  type LeaseTarget,
} from './lease.js';
import {LatencyEstimates} from './latencyEstimates.js';
import {LeaseAcquisition} from './leaseAcquisition.js';
import type {LeaseNode} from './leaseNode.js';
import type {Grant} from './leaseRequest.js';
import {PrefixAffinity} from './prefixAffinity.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';
import {ServerViews} from './serverViews.js';

export type {Lease, LeaseReport, LeaseTarget} from './lease.js';

const renewIntervalMs = 500;
/** Smallest remaining time that is sent, because the message requires one. */
const minRemainingMs = 1;

export interface LeaseClientOptions {
  /** The gateway's own latency measurements. */
  latencies?: LatencyEstimates;
  /** Returns a uniform random number in [0, 1). */
  random?: () => number;
}

/** Acquires, renews and releases leases. */
export class LeaseClient implements LeaseSource {
  private readonly held: HeldLeases;
  private readonly views = new ServerViews();
  private readonly candidateLists = new CandidateLists();
  private readonly affinity = new PrefixAffinity();
  private readonly latencies: LatencyEstimates;
  private readonly random: () => number;

  constructor(
    private readonly node: LeaseNode,
    private readonly dispatchers: DispatcherCalls,
    options: LeaseClientOptions = {},
  ) {
    this.held = new HeldLeases(node, dispatchers);
    this.latencies = options.latencies ?? new LatencyEstimates();
    this.random = options.random ?? Math.random;
  }

  /** Renews the held leases until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {ownership, pauseDetector} = this.node;
    const unsubscribers = [
      ownership.subscribe(() => this.held.renewMoved()),
      pauseDetector.subscribe(() => this.resumeAfterPause()),
    ];
    try {
      while (!signal.aborted) {
        await waitFor(renewIntervalMs, signal);
        this.held.renewAll();
      }
    } finally {
      for (const end of unsubscribers) end();
    }
  }

  async acquire(
    context: RequestContext,
    target: LeaseTarget,
    options: AcquireOptions = {},
  ): Promise<Result<Lease, Refusal>> {
    const configuration = this.node.config.getConfiguration();
    if (!configuration) return err(buildNotReadyRefusal());
    const chooser = this.createChooser(configuration, target, options);
    const acquisition = new LeaseAcquisition({
      dispatchers: this.dispatchers,
      views: this.views,
      context,
      chooser,
      immediateOnly: options.immediateOnly ?? false,
      signal: options.signal,
      findOwner: id => this.node.ownership.findOwner(id),
      subscribeToOwners: listener => this.node.ownership.subscribe(listener),
      buildAcquire: (leaseId, backendServer, immediate) =>
        this.buildAcquire(context, options, chooser.ignoresEjections, {
          leaseId,
          backendServer,
          immediate,
        }),
    });
    const granted = await acquisition.run();
    if (granted.isErr()) return err(granted.error);
    return ok(this.hold(context, options, granted.value));
  }

  release(lease: Lease, report: LeaseReport): void {
    this.views.noteRelease(lease.backendServer);
    if (report.end === LeaseEnd.ConnectFailed) {
      this.views.noteUnreachable(lease.backendServer);
    }
    this.held.release(lease, report);
  }

  /** Number of requests that hold a slot. */
  countHeld(): number {
    return this.held.count();
  }

  /** The views are outdated after a pause of the process. */
  private resumeAfterPause(): void {
    this.views.clear();
    this.held.renewAll();
  }

  private createChooser(
    configuration: Configuration,
    target: LeaseTarget,
    options: AcquireOptions,
  ): CandidateChooser {
    const {views} = this;
    const {prefer, prefixDigest} = options;
    const avoid = options.avoid ?? new Set<string>();
    const servers = this.candidateLists.list(configuration, target);
    const model = getTargetName(target);
    const chooser = new CandidateChooser({
      configuration,
      views,
      servers: options.immediateOnly
        ? servers.filter(id => !avoid.has(id))
        : servers,
      avoid,
      isSlow: id => this.latencies.isSlow(model, id),
      random: this.random,
    });
    const cached =
      prefixDigest === undefined
        ? undefined
        : this.affinity.choose({
            configuration,
            views,
            servers,
            prefixDigest,
            isAvoided: id => avoid.has(id) || chooser.isDegraded(id),
          });
    const first = prefer ?? cached;
    if (first !== undefined) chooser.putFirst(first);
    return chooser;
  }

  private buildAcquire(
    context: RequestContext,
    options: AcquireOptions,
    ignoreEjection: boolean,
    slotRequest: Pick<Acquire, 'leaseId' | 'backendServer' | 'immediate'>,
  ): Acquire {
    const {fingerprint, prefixDigest, suspectCount} = options;
    const deadlineMs = Math.max(minRemainingMs, computeRemainingMs(context));
    return {
      ...slotRequest,
      requestId: context.requestId,
      gateway: this.node.membership.getSelf().incarnation,
      className: context.className,
      customer: context.customerId,
      deadlineMs,
      latestStartMs: this.computeLatestStartMs(context, options, deadlineMs),
      ...(fingerprint === undefined ? {} : {fingerprint}),
      ...(prefixDigest === undefined ? {} : {prefixDigest}),
      ...(ignoreEjection ? {ignoreEjection} : {}),
      suspectCount: suspectCount ?? 0,
      configNumber: this.node.config.getNumberInForce(),
    };
  }

  /**
   * Milliseconds until the latest start that still meets the target for the
   * first token. When the target can no longer be met, or part of the answer
   * has been relayed, only the deadline applies: a late answer is worth more to
   * the caller than none.
   */
  private computeLatestStartMs(
    context: RequestContext,
    {resumed}: AcquireOptions,
    deadlineMs: number,
  ): number {
    const firstTokenMs = this.latencies.estimateFirstTokenMs(context.className);
    const {arrivedAtMs, requestClass} = context;
    const targetAtMs = arrivedAtMs + requestClass.firstTokenMs;
    const targetLeftMs = targetAtMs - performance.now() - firstTokenMs;
    if (!resumed && targetLeftMs > 0) return Math.min(targetLeftMs, deadlineMs);
    return Math.max(minRemainingMs, deadlineMs - firstTokenMs);
  }

  private hold(
    context: RequestContext,
    options: AcquireOptions,
    {leaseId, backendServer, owner, event}: Grant,
  ): Lease {
    const lease: Lease = {
      leaseId,
      backendServer,
      address: event.address,
      priority: event.priority,
      tokens: 0,
      context,
      grantedAtMs: performance.now(),
      suspectCount: options.suspectCount ?? 0,
      ...(options.fingerprint ? {fingerprint: options.fingerprint} : {}),
    };
    this.held.add(lease, owner);
    return lease;
  }
}

function buildNotReadyRefusal(): Refusal {
  return new Refusal(
    RefusalReason.NotReady,
    Outcome.NotRun,
    'no configuration is in force yet',
    {retryAfterMs: 500},
  );
}
