/** One request's search for a slot. */
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
import {RefusalSummary, type AskRefusal} from './refusalSummary.js';
import {computeRemainingMs, type RequestContext} from './requestContext.js';

/** Servers at which a request queues at first. */
const firstQueueCount = 2;
/** Servers that a request asks before it is refused, if there are so many. */
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
  /** Take a free slot or none. */
  immediateOnly: boolean;
  /** Ends the search early, besides the caller's signal. */
  signal?: AbortSignal;
  /** Calls back after each change of owners; returns the end of the calls. */
  subscribeToOwners: (listener: () => void) => () => void;
}

/**
 * Asks one server for a free slot at once; then queues at two, later at more,
 * and takes the first grant (late binding).
 *
 * Source: Ousterhout et al., "Sparrow: distributed, low latency scheduling",
 * 2013.
 */
export class LeaseAcquisition {
  private readonly open = new Set<LeaseRequest>();
  private readonly summary = new RefusalSummary();
  private resolve: (result: Result<Grant, Refusal>) => void = () => undefined;
  private isOver = false;
  private queueCount = 0;
  private asked = 0;
  private widenTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaseAcquisitionOptions) {}

  /** Resolves to the first grant, or to one refusal for all. */
  async run(): Promise<Result<Grant, Refusal>> {
    const {context, signal, subscribeToOwners} = this.options;
    const refusal = this.checkEnd();
    if (refusal) return err(refusal);
    const handleEnd = () => this.settle(err(this.checkEnd() ?? buildGone()));
    const remainingMs = computeRemainingMs(context);
    const timer = setTimeout(() => this.settle(err(buildLate())), remainingMs);
    const unsubscribe = subscribeToOwners(() => this.handleOwnerChange());
    context.signal.addEventListener('abort', handleEnd);
    signal?.addEventListener('abort', handleEnd);
    try {
      return await new Promise(resolve => {
        this.resolve = resolve;
        this.requestAtOnce();
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
    if (context.signal.aborted) return buildGone();
    if (computeRemainingMs(context) <= 0) return buildLate();
    return signal?.aborted ? buildGone() : undefined;
  }

  private requestAtOnce(): void {
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
      this.addQueues(firstQueueCount);
      this.scheduleWidening();
    });
  }

  /** Queues at as many servers as there should be queues. */
  private addQueues(queueCount: number): void {
    this.queueCount = Math.min(queueCount, maxQueueCount);
    while (!this.isOver && this.open.size < this.queueCount) {
      if (this.asked >= maxQueueCount) break;
      const candidate = this.options.chooser.take();
      if (candidate === undefined) break;
      this.asked += 1;
      this.sendRequest(candidate, false, (refusal, retryMs) => {
        this.handleRefusal(refusal, retryMs);
      });
    }
    if (this.open.size === 0) this.settle(err(this.summary.build()));
  }

  private handleRefusal(refusal: AskRefusal, retryMs?: number): void {
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
    handleRefused: (refusal: AskRefusal, retryMs?: number) => void,
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
        this.open.delete(request);
        this.settle(ok(grant));
      },
      onRefused: (refusal, retryMs) => {
        this.open.delete(request);
        if (!this.isOver) handleRefused(refusal, retryMs);
      },
      onDelayed: () => this.addQueues(this.queueCount + 1),
    });
    this.open.add(request);
    request.start();
  }

  private handleOwnerChange(): void {
    for (const request of [...this.open]) request.handleOwnerChange();
  }

  private settle(result: Result<Grant, Refusal>): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.widenTimer);
    for (const request of this.open) request.cancel();
    this.open.clear();
    this.resolve(result);
  }
}

function buildGone(): Refusal {
  return new Refusal(
    RefusalReason.CallerGone,
    Outcome.NotRun,
    'the caller is gone',
  );
}

function buildLate(): Refusal {
  return new Refusal(
    RefusalReason.DeadlineExceeded,
    Outcome.NotRun,
    'the deadline passed before a backend server was free',
    {retryAfterMs},
  );
}
