/** Acquires a slot for one request. */
import {err, ok, type Result} from 'neverthrow';
import {LeaseRefusal} from '../protocol/leaseMessages.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';
import type {CandidateChooser} from './candidateChooser.js';
import {
  LeaseRequest,
  type Grant,
  type LeaseRequestOptions,
} from './leaseRequest.js';
import {RefusalSummary, type DispatcherRefusal} from './refusalSummary.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';

/** Number of servers at which a request queues at first. */
const initialQueueCount = 2;
/** Limit of servers that a request asks before it is refused. */
const maxQueueCount = 16;
/** The number of queues doubles at this interval. */
const widenIntervalMs = 100;
const retryAfterMs = 1_000;

export interface LeaseAcquisitionOptions extends Pick<
  LeaseRequestOptions,
  'dispatchers' | 'views' | 'findOwner' | 'buildAcquire'
> {
  context: RequestContext;
  chooser: CandidateChooser;
  /** Only take a free slot; do not queue. */
  immediateOnly: boolean;
  /** Cancels the acquisition, in addition to the caller's signal. */
  signal?: AbortSignal;
  /**
   * Registers a listener for owner changes; returns the function to remove it.
   */
  subscribeToOwners: (listener: () => void) => () => void;
}

/**
 * Asks one server for a free slot first, then queues at two servers, later at
 * more, and takes the first grant (late binding).
 *
 * Source: Ousterhout et al., "Sparrow: distributed, low latency scheduling",
 * 2013.
 */
export class LeaseAcquisition {
  private readonly openRequests = new Set<LeaseRequest>();
  private readonly summary = new RefusalSummary();
  private resolve: (result: Result<Grant, Refusal>) => void = () => undefined;
  private isOver = false;
  private queueCount = 0;
  private askedCount = 0;
  private widenTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaseAcquisitionOptions) {}

  /** Resolves to the first grant, or to one refusal that summarises all. */
  async run(): Promise<Result<Grant, Refusal>> {
    const {context, signal, subscribeToOwners} = this.options;
    const refusal = this.checkEnd();
    if (refusal) return err(refusal);
    const handleEnd = () =>
      this.settle(err(this.checkEnd() ?? buildCallerGoneRefusal()));
    const remainingMs = computeRemainingMs(context);
    const timer = setTimeout(
      () => this.settle(err(buildDeadlineRefusal())),
      remainingMs,
    );
    const unsubscribe = subscribeToOwners(() => this.handleOwnerChange());
    context.signal.addEventListener('abort', handleEnd);
    signal?.addEventListener('abort', handleEnd);
    try {
      return await new Promise(resolve => {
        this.resolve = resolve;
        this.requestFreeSlot();
      });
    } finally {
      clearTimeout(timer);
      unsubscribe();
      context.signal.removeEventListener('abort', handleEnd);
      signal?.removeEventListener('abort', handleEnd);
    }
  }

  private checkEnd(): Refusal | undefined {
    const {context, signal} = this.options;
    if (context.signal.aborted) return buildCallerGoneRefusal();
    if (computeRemainingMs(context) <= 0) return buildDeadlineRefusal();
    return signal?.aborted ? buildCallerGoneRefusal() : undefined;
  }

  private requestFreeSlot(): void {
    const {chooser, immediateOnly} = this.options;
    const candidate = chooser.take();
    if (candidate === undefined) {
      this.settle(err(this.summary.build()));
      return;
    }
    this.sendRequest(candidate, true, (refusal, retryMs) => {
      if (immediateOnly || refusal === LeaseRefusal.RequestCrashesServers) {
        this.summary.add(refusal, retryMs);
        this.settle(err(this.summary.build()));
        return;
      }
      if (refusal !== LeaseRefusal.Leaving) chooser.putBack(candidate);
      else this.summary.add(refusal, retryMs);
      this.addQueues(initialQueueCount);
      this.scheduleWidening();
    });
  }

  /** Queues at further servers until the given number of queues is reached. */
  private addQueues(queueCount: number): void {
    this.queueCount = Math.min(queueCount, maxQueueCount);
    while (!this.isOver && this.openRequests.size < this.queueCount) {
      if (this.askedCount >= maxQueueCount) break;
      const candidate = this.options.chooser.take();
      if (candidate === undefined) break;
      this.askedCount += 1;
      this.sendRequest(candidate, false, (refusal, retryMs) => {
        this.handleRefusal(refusal, retryMs);
      });
    }
    if (this.openRequests.size === 0) this.settle(err(this.summary.build()));
  }

  private handleRefusal(refusal: DispatcherRefusal, retryMs?: number): void {
    this.summary.add(refusal, retryMs);
    if (refusal === LeaseRefusal.RequestCrashesServers) {
      this.settle(err(this.summary.build()));
      return;
    }
    this.addQueues(this.queueCount);
  }

  private scheduleWidening(): void {
    if (this.isOver || this.queueCount >= maxQueueCount) return;
    this.widenTimer = setTimeout(() => {
      this.addQueues(this.queueCount * 2);
      this.scheduleWidening();
    }, widenIntervalMs);
  }

  private sendRequest(
    backendServer: string,
    immediate: boolean,
    handleRefused: (refusal: DispatcherRefusal, retryMs?: number) => void,
  ): void {
    const {dispatchers, views, findOwner, buildAcquire} = this.options;
    const request = new LeaseRequest({
      dispatchers,
      views,
      findOwner,
      backendServer,
      immediate,
      buildAcquire,
      onGranted: grant => {
        this.openRequests.delete(request);
        this.settle(ok(grant));
      },
      onRefused: (refusal, retryMs) => {
        this.openRequests.delete(request);
        if (!this.isOver) handleRefused(refusal, retryMs);
      },
      onDelayed: () => this.addQueues(this.queueCount + 1),
    });
    this.openRequests.add(request);
    request.start();
  }

  private handleOwnerChange(): void {
    for (const request of [...this.openRequests]) request.handleOwnerChange();
  }

  private settle(result: Result<Grant, Refusal>): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.widenTimer);
    for (const request of this.openRequests) request.cancel();
    this.openRequests.clear();
    this.resolve(result);
  }
}

function buildCallerGoneRefusal(): Refusal {
  return new Refusal(
    RefusalReason.CallerGone,
    Outcome.NotRun,
    'the caller is gone',
  );
}

function buildDeadlineRefusal(): Refusal {
  return new Refusal(
    RefusalReason.DeadlineExceeded,
    Outcome.NotRun,
    'the deadline passed before a backend server was free',
    {retryAfterMs},
  );
}
