/** Supervision tree: starts child tasks and restarts those that fail. */
import {waitFor} from './delay.js';
import type {Log} from './log.js';

export enum RestartPolicy {
  /** Restart when the task throws; a task that returns is finished. */
  OnFailure = 'onFailure',
  /** Restart when the task throws or returns. */
  Always = 'always',
  /** Never restart. */
  Never = 'never',
}

/** A child: an async function that runs until its signal aborts. */
export interface ChildSpec {
  name: string;
  restart: RestartPolicy;
  run: (signal: AbortSignal) => Promise<void>;
  /** True: nothing of the child is kept once it has ended, e.g. a connection. */
  forget?: boolean;
}

export enum ChildState {
  Running = 'running',
  Waiting = 'waiting',
  Finished = 'finished',
  Failed = 'failed',
}

/** State of one child, for the dump. */
export interface ChildStatus {
  name: string;
  state: ChildState;
  restarts: number;
  lastError?: string;
}

/** Delay before the first restart in milliseconds; doubles at each failure. */
const firstRestartDelayMs = 50;
const maxRestartDelayMs = 5_000;
/** A child that ran for this long starts again with the first delay. */
const stableAfterMs = 30_000;
/** Children that don't end within this time of the signal are left behind. */
const stopTimeoutMs = 5_000;

/**
 * Runs child tasks; one signal stops them all.
 *
 * @example
 * const root = new Supervisor('gateway', log);
 * root.spawn({name: 'membership', restart: RestartPolicy.Always, run});
 * await root.stop();
 */
export class Supervisor {
  private readonly abortController = new AbortController();
  private readonly statuses = new Map<string, ChildStatus>();
  private readonly tasks = new Map<string, Promise<void>>();

  constructor(
    readonly name: string,
    private readonly log: Log,
  ) {}

  /** Aborts when the tree stops. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /**
   * Starts a child; none once the tree stops. Throws when a child of the name
   * is running.
   */
  spawn(spec: ChildSpec): void {
    if (this.signal.aborted) return;
    if (this.tasks.has(spec.name)) {
      throw new TypeError(`child "${spec.name}" is running`);
    }
    const status: ChildStatus = {
      name: spec.name,
      state: ChildState.Running,
      restarts: 0,
    };
    this.statuses.set(spec.name, status);
    const task = this.superviseChild(spec, status).then(() => {
      this.tasks.delete(spec.name);
      if (spec.forget) this.statuses.delete(spec.name);
    });
    this.tasks.set(spec.name, task);
  }

  /** Starts a supervisor of its own below this one. */
  spawnSupervisor(name: string): Supervisor {
    const child = new Supervisor(name, this.log);
    this.spawn({
      name,
      restart: RestartPolicy.Never,
      run: async signal => {
        await new Promise<void>(resolve => {
          if (signal.aborted) resolve();
          signal.addEventListener('abort', () => resolve(), {once: true});
        });
        await child.stop();
      },
    });
    return child;
  }

  /** Stops all children and waits for them, but not without limit. */
  async stop(): Promise<void> {
    this.abortController.abort();
    const waited = new AbortController();
    await Promise.race([
      Promise.all(this.tasks.values()),
      waitFor(stopTimeoutMs, waited.signal),
    ]);
    waited.abort();
    for (const child of this.tasks.keys()) {
      this.log.raise('child task did not stop', {supervisor: this.name, child});
    }
  }

  /** Lists the children's states. */
  describe(): ChildStatus[] {
    return [...this.statuses.values()].map(status => ({...status}));
  }

  private async superviseChild(
    spec: ChildSpec,
    status: ChildStatus,
  ): Promise<void> {
    let delayMs = firstRestartDelayMs;
    while (!this.signal.aborted) {
      const startedAtMs = performance.now();
      status.state = ChildState.Running;
      const failed = await this.runOnce(spec, status);
      if (!this.shouldRestart(spec, failed)) break;
      if (performance.now() - startedAtMs > stableAfterMs) {
        delayMs = firstRestartDelayMs;
      }
      status.state = ChildState.Waiting;
      status.restarts += 1;
      await waitFor(delayMs, this.signal);
      delayMs = Math.min(delayMs * 2, maxRestartDelayMs);
    }
    if (status.state !== ChildState.Failed) status.state = ChildState.Finished;
  }

  private async runOnce(
    spec: ChildSpec,
    status: ChildStatus,
  ): Promise<boolean> {
    try {
      await spec.run(this.signal);
      return false;
    } catch (error) {
      if (this.signal.aborted) return false;
      status.lastError = error instanceof Error ? error.message : String(error);
      status.state = ChildState.Failed;
      this.log.raise('child task failed', {
        supervisor: this.name,
        child: spec.name,
        error: status.lastError,
      });
      return true;
    }
  }

  private shouldRestart(spec: ChildSpec, failed: boolean): boolean {
    if (this.signal.aborted) return false;
    switch (spec.restart) {
      case RestartPolicy.Always:
        return true;
      case RestartPolicy.OnFailure:
        return failed;
      case RestartPolicy.Never:
        return false;
    }
  }
}
