/** Learned times for which requests hold a slot. */

/** Weight of a new sample in the running mean. */
const sampleWeight = 0.1;
/** With fewer samples no estimate is given, and nothing is refused early. */
const minSamples = 5;
/** A class that the configuration dropped must not stay for ever. */
const maxClasses = 200;

interface RunningMean {
  meanMs: number;
  samples: number;
}

/** Running mean of held times of one backend server, by class. */
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

  /** Expected held time; 0 while too little is known. */
  estimateMs(className: string): number {
    const mean = this.byClass.get(className);
    if (mean && mean.samples >= minSamples) return mean.meanMs;
    return this.overall.samples >= minSamples ? this.overall.meanMs : 0;
  }

  /** State for the dump. */
  describe(): object {
    return Object.fromEntries(this.byClass);
  }
}

function addSample(mean: RunningMean, valueMs: number): void {
  mean.samples += 1;
  // The first samples are averaged plainly, so that none of them dominates.
  const weight = Math.max(sampleWeight, 1 / mean.samples);
  mean.meanMs += (valueMs - mean.meanMs) * weight;
}
