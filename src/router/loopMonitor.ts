/** Logs delays of the event loop, which no log line of a request shows. */
import type {Log, LogFields} from '../node/log.js';
import type {RequestIntake} from './requestIntake.js';
import type {RouterMetrics} from './routerMetrics.js';

/**
 * A timer that fires later than this is logged, in milliseconds, and so are
 * connections that wait longer to be accepted. Callers that disconnect and
 * deadlines that pass are noticed that much later.
 */
const minLoggedMs = 200;

export interface LoopMonitorOptions {
  readonly intake: RequestIntake;
  readonly metrics: RouterMetrics;
  readonly log: Log;
}

/** Records how late timers fire, and how long connections wait. */
export class LoopMonitor {
  /** Longest delay of a timer since the last summary, in milliseconds. */
  private maxLagMs = 0;

  constructor(private readonly options: LoopMonitorOptions) {}

  /**
   * Records the delay of a timer that has just fired, and checks the wait of
   * connections.
   */
  record(lagMs: number): void {
    const {intake, metrics, log} = this.options;
    const {active} = intake;
    metrics.recordLag(lagMs);
    this.maxLagMs = Math.max(this.maxLagMs, lagMs);
    if (lagMs >= minLoggedMs) {
      log.warn('event loop delayed', {lagMs: Math.round(lagMs), active});
    }
    const waitMs = Math.round(intake.measureAcceptWaitMs());
    if (waitMs < minLoggedMs) return;
    log.warn('connections wait to be accepted', {waitMs, active});
  }

  /** Returns the fields of a summary since the last call. */
  takeFields(): LogFields {
    const {accepts, maxWaitMs} = this.options.intake.takeAcceptCounts();
    const maxLagMs = Math.round(this.maxLagMs);
    this.maxLagMs = 0;
    return {maxLagMs, accepts, maxAcceptWaitMs: Math.round(maxWaitMs)};
  }
}
