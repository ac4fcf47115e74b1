/** Service times: how long requests hold a slot. */

/** Weight of a new sample in the exponential moving average. */
const sampleWeight = 0.1;
/** With fewer samples there is no estimate, and nothing is refused early. */
const minSamples = 5;
/** Bounds the memory used for classes that are no longer configured. */
const maxClasses = 200;

interface RunningMean {
  meanMs: number;
  samples: number;
}

/** Moving averages of the service times on one backend server, by class. */
export class ServiceTimes {
  private readonly byClass = new Map<string, RunningMean>();
  private readonly overall: RunningMean = {meanMs: 0, samples: 0};

  /** Adds the time for which a request held a slot. */
  record(className: string, heldMs: number): void {
    let mean = this.byClass.get(className);
    if (!mean) {
      if (this.byClass.size >= maxClasses) this.byClass.clear();
      mean = {meanMs: 0, samples: 0};
      this.byClass.set(className, mean);
    }
    addSample(mean, heldMs);
    addSample(this.overall, heldMs);
  }

  /**
   * Expected service time of a class, by its own samples or else by those of
   * all classes; 0 with too few samples.
   */
  estimateMs(className: string): number {
    const mean = this.byClass.get(className);
    if (mean && mean.samples >= minSamples) return mean.meanMs;
    return this.overall.samples >= minSamples ? this.overall.meanMs : 0;
  }

  /** State for the operators' dump. */
  describe(): object {
    return Object.fromEntries(this.byClass);
  }
}

function addSample(mean: RunningMean, valueMs: number): void {
  mean.samples += 1;
  // The first samples have equal weight, so that none of them dominates.
  const weight = Math.max(sampleWeight, 1 / mean.samples);
  mean.meanMs += (valueMs - mean.meanMs) * weight;
}
