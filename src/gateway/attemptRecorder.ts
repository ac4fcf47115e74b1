/** Records the measurements of finished attempts. */
import type {ChatAttempt} from './chatAttempt.js';
import type {ChatDependencies} from './chatDependencies.js';
import {AttemptEndKind, type AttemptEnd} from './engineStream.js';
import type {LatencySample} from './latencyEstimates.js';
import type {LeaseReport} from './lease.js';
import {chooseLeaseEnd} from './sessionRules.js';

/**
 * Ends before the first token after which the elapsed time is still a lower
 * bound of the time to first token.
 */
const lowerBoundEndKinds = new Set([
  AttemptEndKind.Aborted,
  AttemptEndKind.Silent,
]);

/** Updates metrics and latency estimates, and builds lease release reports. */
export class AttemptRecorder {
  constructor(
    private readonly dependencies: Pick<
      ChatDependencies,
      'metrics' | 'latencies' | 'hedges'
    >,
    private readonly className: string,
    private readonly model: string,
  ) {}

  /** Records an attempt; returns the report for its dispatcher. */
  record(attempt: ChatAttempt, end: AttemptEnd): LeaseReport {
    const {metrics, latencies} = this.dependencies;
    const {lease, times} = attempt;
    const sample = times.describe();
    const estimateSample = this.addElapsedTime(attempt, end, sample);
    const slowness = latencies.computeSlowness(this.model, estimateSample);
    metrics.recordAttempt(lease.backendServer, sample, times.tokens);
    this.updateEstimates(lease.backendServer, estimateSample);
    return {
      end: chooseLeaseEnd(end.kind),
      tokens: lease.tokens,
      ...sample,
      ...(slowness === undefined ? {} : {slowness}),
    };
  }

  private updateEstimates(backendServer: string, sample: LatencySample): void {
    const {latencies, hedges} = this.dependencies;
    const {firstTokenMs} = sample;
    if (firstTokenMs === undefined) return;
    latencies.add(this.model, backendServer, sample);
    latencies.addFirstToken(this.className, firstTokenMs);
    hedges.noteFirstToken(this.className, firstTokenMs);
  }

  /**
   * For an attempt that ended before its first token, the elapsed time is a
   * lower bound of the time to first token. A bound below the usual time
   * carries no information, so only longer ones are added to the sample.
   */
  private addElapsedTime(
    {times}: ChatAttempt,
    {kind}: AttemptEnd,
    sample: LatencySample,
  ): LatencySample {
    if (sample.firstTokenMs !== undefined || !lowerBoundEndKinds.has(kind)) {
      return sample;
    }
    const firstTokenMs = times.getElapsedMs();
    const usualMs = this.dependencies.latencies.estimateFirstTokenMs(
      this.className,
    );
    return firstTokenMs > usualMs ? {...sample, firstTokenMs} : sample;
  }
}
