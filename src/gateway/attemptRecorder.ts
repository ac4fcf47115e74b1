/** Learns from attempts that are over. */
import type {ChatAttempt} from './chatAttempt.js';
import type {ChatParts} from './chatParts.js';
import {AttemptEndKind, type AttemptEnd} from './engineStream.js';
import type {LatencySample} from './latencyEstimates.js';
import type {LeaseReport} from './lease.js';
import {chooseLeaseEnd} from './sessionRules.js';

/** Ends of attempts without a token that still say how long one took. */
const waitingEnds = new Set([AttemptEndKind.Aborted, AttemptEndKind.Silent]);

/** Feeds metrics, medians and percentiles, and builds reports for releases. */
export class AttemptRecorder {
  constructor(
    private readonly parts: Pick<ChatParts, 'metrics' | 'latencies' | 'hedges'>,
    private readonly className: string,
    private readonly model: string,
  ) {}

  /** Records an attempt; returns what its dispatcher is told. */
  record(attempt: ChatAttempt, end: AttemptEnd): LeaseReport {
    const {metrics, latencies} = this.parts;
    const {lease, times} = attempt;
    const sample = times.describe();
    const learned = this.addWaitingTime(attempt, end, sample);
    const slowness = latencies.computeSlowness(this.model, learned);
    metrics.recordAttempt(lease.backendServer, sample, times.tokens);
    this.learn(lease.backendServer, learned);
    return {
      end: chooseLeaseEnd(end.kind),
      tokens: lease.tokens,
      ...sample,
      ...(slowness === undefined ? {} : {slowness}),
    };
  }

  private learn(backendServer: string, sample: LatencySample): void {
    const {latencies, hedges} = this.parts;
    const {firstTokenMs} = sample;
    if (firstTokenMs === undefined) return;
    latencies.add(this.model, backendServer, sample);
    latencies.addFirstToken(this.className, firstTokenMs);
    hedges.noteFirstToken(this.className, firstTokenMs);
  }

  /**
   * An attempt that was given up without a token took at least the time until
   * then. That says something only when it was longer than usual.
   */
  private addWaitingTime(
    {times}: ChatAttempt,
    {kind}: AttemptEnd,
    sample: LatencySample,
  ): LatencySample {
    if (sample.firstTokenMs !== undefined || !waitingEnds.has(kind)) {
      return sample;
    }
    const firstTokenMs = times.getAgeMs();
    const usualMs = this.parts.latencies.estimateFirstTokenMs(this.className);
    return firstTokenMs > usualMs ? {...sample, firstTokenMs} : sample;
  }
}
