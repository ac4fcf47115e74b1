/** Continuous batching of the model engine stand-in. */

/** A run of a request in the engine. */
export interface Job {
  readonly requestId: string;
  /** Jobs with a lower number run first. */
  priority: number;
  /** Unique number in order of arrival; breaks ties between priorities. */
  readonly arrivalNumber: number;
  /** Remaining prefill time at normal speed (`slowFactor` 1). */
  remainingPrefillMs: number;
  /** Index of the next token to generate. */
  nextTokenIndex: number;
  readonly tokenCount: number;
  started: boolean;
}

/** Callbacks of the scheduler. They may remove jobs from it. */
export interface BatchHandlers<J extends Job> {
  /** Called when a job runs in a step for the first time. */
  start(job: J): void;
  /** Called for each token; `index` counts from 0. */
  generate(job: J, index: number): void;
  /** Called when a job has all its tokens and was removed. */
  finish(job: J): void;
}

/**
 * Most overdue steps to catch up on after the event loop was blocked; earlier
 * ones are skipped.
 */
const maxCatchUpSteps = 5;

/**
 * Runs jobs in steps. In each step the first `slots` jobs, by priority and then
 * by arrival, get a token or a slice of their prefill.
 */
export class BatchScheduler<J extends Job> {
  /** Factor on the duration of a step. */
  slowFactor = 1;
  private readonly jobs = new Set<J>();
  private timer: NodeJS.Timeout | undefined;
  private nextStepAtMs = 0;

  constructor(
    private readonly slots: number,
    private readonly stepMs: number,
    private readonly handlers: BatchHandlers<J>,
  ) {}

  /** Number of jobs, running and waiting. */
  get size(): number {
    return this.jobs.size;
  }

  /** Adds a job, and starts the steps if none is scheduled. */
  add(job: J): void {
    this.jobs.add(job);
    this.startTimer();
  }

  /** Removes a job; returns false if it was not in the scheduler. */
  remove(job: J): boolean {
    return this.jobs.delete(job);
  }

  /** Removes all jobs and returns them. */
  drain(): J[] {
    clearTimeout(this.timer);
    this.timer = undefined;
    const jobs = [...this.jobs];
    this.jobs.clear();
    return jobs;
  }

  /** Returns the jobs of a request. */
  listByRequest(requestId: string): J[] {
    return [...this.jobs].filter(job => job.requestId === requestId);
  }

  /** Returns the jobs that the next step serves. */
  listRunning(): J[] {
    return [...this.jobs]
      .sort(
        (a, b) => a.priority - b.priority || a.arrivalNumber - b.arrivalNumber,
      )
      .slice(0, this.slots);
  }

  private startTimer(): void {
    if (this.timer !== undefined || this.jobs.size === 0) return;
    this.nextStepAtMs = performance.now();
    this.scheduleStep();
  }

  private scheduleStep(): void {
    const intervalMs = this.stepMs * this.slowFactor;
    const nowMs = performance.now();
    const earliestMs = nowMs - maxCatchUpSteps * intervalMs;
    this.nextStepAtMs = Math.max(this.nextStepAtMs, earliestMs) + intervalMs;
    this.timer = setTimeout(
      () => this.runStep(),
      Math.max(0, this.nextStepAtMs - nowMs),
    );
  }

  private runStep(): void {
    this.timer = undefined;
    for (const job of this.listRunning()) {
      if (this.jobs.has(job)) this.advanceJob(job);
    }
    if (this.jobs.size > 0) this.scheduleStep();
  }

  private advanceJob(job: J): void {
    if (!job.started) {
      job.started = true;
      this.handlers.start(job);
    }
    job.remainingPrefillMs -= this.stepMs;
    if (job.remainingPrefillMs > 0) return;
    if (job.nextTokenIndex < job.tokenCount) {
      const index = job.nextTokenIndex;
      job.nextTokenIndex += 1;
      this.handlers.generate(job, index);
    }
    if (job.nextTokenIndex < job.tokenCount) return;
    if (this.jobs.delete(job)) this.handlers.finish(job);
  }
}
