/** Supervision tree: starts child tasks and restarts them by their policy. */
import {waitFor} from './delay.js';
import type {Log} from './log.js';

export enum RestartPolicy {
  /** Restart when the task throws, but not when it returns. */
  OnFailure = 'onFailure',
  /** Restart when the task throws or returns. */
  Always = 'always',
  Never = 'never',
}

/** A child task: an async function that runs until its signal aborts. */
export interface ChildSpec {
  name: string;
  restart: RestartPolicy;
  run: (signal: AbortSignal) => Promise<void>;
  /** Removes the status of the child once it has ended, e.g. a connection. */
  removeWhenEnded?: boolean;
}

export enum ChildState {
  Running = 'running',
  /** Ended, and is restarted after a delay. */
  Waiting = 'waiting',
  Finished = 'finished',
  Failed = 'failed',
}

/** State of one child, for the operators' dump. */
export interface ChildStatus {
  name: string;
  state: ChildState;
  restarts: number;
  lastError?: string;
}

/** Delay before the first restart; doubles with each further restart. */
const firstRestartDelayMs = 50;
const maxRestartDelayMs = 5_000;
/** A child that ran for longer than this restarts with the first delay. */
const stableAfterMs = 30_000;
/** Default of the longest wait of `stop`, in milliseconds. */
const stopTimeoutMs = 5_000;

/**
 * Runs child tasks; a common signal stops them all.
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

  /** Aborts when this supervisor stops. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /**
   * Starts a child; does nothing once this supervisor stops. Throws a
   * `TypeError` when a child with the same name is running.
   */
  spawn(spec: ChildSpec): void {
    if (this.signal.aborted) return;
    if (this.tasks.has(spec.name)) {
      throw new TypeError(`child "${spec.name}" is already running`);
    }
    const status: ChildStatus = {
      name: spec.name,
      state: ChildState.Running,
      restarts: 0,
    };
    this.statuses.set(spec.name, status);
    const task = this.superviseChild(spec, status).then(() => {
      this.tasks.delete(spec.name);
      if (spec.removeWhenEnded) this.statuses.delete(spec.name);
    });
    this.tasks.set(spec.name, task);
  }

  /** Starts a child supervisor, which stops with this one. */
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

  /**
   * Stops all children and waits for them.
   *
   * @param timeoutMs - longest wait for children that ignore the signal
   */
  async stop(timeoutMs = stopTimeoutMs): Promise<void> {
    this.abortController.abort();
    const timeoutController = new AbortController();
    await Promise.race([
      Promise.all(this.tasks.values()),
      waitFor(timeoutMs, timeoutController.signal),
    ]);
    timeoutController.abort();
    for (const child of this.tasks.keys()) {
      this.log.logError('child task did not stop', {
        supervisor: this.name,
        child,
      });
    }
  }

  /** Returns the state of each child. */
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
      this.log.logError('child task failed', {
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
