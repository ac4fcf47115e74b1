/** Graceful leave of a gateway. */
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import {addressTtlSeconds} from './addressAnswers.js';
import type {CallerServer} from './callerServer.js';
import type {ChatService} from './chatService.js';
import type {OperationHandover} from './operationHandover.js';

/** Time limits of a graceful leave. */
export interface LeaveTimes {
  /** Longest leave; requests still in progress are then cut off. */
  boundMs: number;
  /** Longest time for which the gateway keeps listening. */
  listenMs: number;
  /** Listening ends early after this time without connections or requests. */
  quietMs: number;
}

/** Time for the announced leave to reach the gateways that list addresses. */
const propagationMs = 2_000;
const pollMs = 50;
/** Part of `boundMs` after which operations are no longer waited for. */
const operationsBoundRatio = 0.75;
/** Part of `boundMs` after which the handover of records is given up. */
const handoverBoundRatio = 0.9;

export const defaultLeaveTimes: LeaveTimes = {
  boundMs: 120_000,
  listenMs: addressTtlSeconds * 1_000 + propagationMs,
  quietMs: 10_000,
};

export interface LeaveDependencies {
  announceLeaving: () => void;
  callers: Pick<
    CallerServer,
    | 'announceLeaving'
    | 'countConnections'
    | 'computeIdleMs'
    | 'stop'
    | 'closeConnections'
  >;
  handover: Pick<OperationHandover, 'run'>;
  chat: Pick<ChatService, 'drain'>;
  log: Log;
}

/**
 * Leaves the fleet without cutting off a request. The gateway is removed from
 * address answers, hands its operation records over, keeps listening until no
 * caller has a cached answer with its address, and finishes what it accepted.
 */
export class GatewayLeave {
  private readonly abortController = new AbortController();

  constructor(
    private readonly dependencies: LeaveDependencies,
    private readonly times: LeaveTimes = defaultLeaveTimes,
  ) {}

  /** Resolves when all requests are finished, at the bound, or after `end`. */
  async run(): Promise<void> {
    const {callers, log} = this.dependencies;
    const timer = setTimeout(() => this.end(), this.times.boundMs);
    const aborted = new Promise<void>(resolve =>
      this.abortController.signal.addEventListener('abort', () => resolve()),
    );
    await Promise.race([this.finishAll(), aborted]);
    clearTimeout(timer);
    if (!this.abortController.signal.aborted) return;
    log.warn('graceful leave cut short; closing all connections');
    callers.closeConnections();
  }

  /** Ends the leave at once. */
  end(): void {
    this.abortController.abort();
  }

  private async finishAll(): Promise<void> {
    const {announceLeaving, callers, chat} = this.dependencies;
    announceLeaving();
    callers.announceLeaving();
    await Promise.all([this.finishOperations(), this.listenUntilCallersLeft()]);
    await callers.stop();
    await chat.drain();
  }

  private async finishOperations(): Promise<void> {
    const {boundMs} = this.times;
    const finish = new AbortController();
    const confirm = new AbortController();
    const timers = [
      setTimeout(() => finish.abort(), boundMs * operationsBoundRatio),
      setTimeout(() => confirm.abort(), boundMs * handoverBoundRatio),
    ];
    const {signal} = this.abortController;
    await this.dependencies.handover.run(
      AbortSignal.any([finish.signal, signal]),
      AbortSignal.any([confirm.signal, signal]),
    );
    timers.forEach(clearTimeout);
  }

  /**
   * Keeps listening while callers may hold a cached address answer, or until
   * they have disconnected.
   */
  private async listenUntilCallersLeft(): Promise<void> {
    const {callers} = this.dependencies;
    const startedAtMs = performance.now();
    const {signal} = this.abortController;
    while (!signal.aborted) {
      const elapsedMs = performance.now() - startedAtMs;
      if (elapsedMs >= this.times.listenMs) return;
      const idleMs = Math.min(callers.computeIdleMs(), elapsedMs);
      const gone =
        callers.countConnections() === 0 && idleMs >= this.times.quietMs;
      if (gone) return;
      await waitFor(pollMs, signal);
    }
  }
}
