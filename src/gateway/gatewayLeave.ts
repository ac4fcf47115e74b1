/** Graceful leave of a gateway. */
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import {addressTtlSeconds} from './addressAnswers.js';
import type {CallerServer} from './callerServer.js';
import type {ChatService} from './chatService.js';
import type {OperationHandover} from './operationHandover.js';

/** Times of a leave in milliseconds. */
export interface LeaveTimes {
  /** Longest leave; what is then in progress is cut off. */
  boundMs: number;
  /** Longest time for which the gateway goes on listening. */
  listenMs: number;
  /** Without connections and requests for this time, callers are gone. */
  quietMs: number;
}

/** Time for the leave to spread to the gateways that give address answers. */
const spreadMs = 2_000;
const pollMs = 50;
/** Parts of the bound for unfinished operations and for their hand-over. */
const finishShare = 0.75;
const confirmShare = 0.9;

export const defaultLeaveTimes: LeaveTimes = {
  boundMs: 120_000,
  listenMs: addressTtlSeconds * 1_000 + spreadMs,
  quietMs: 10_000,
};

export interface LeaveParts {
  announceLeaving: () => void;
  callers: Pick<
    CallerServer,
    | 'announceLeaving'
    | 'countConnections'
    | 'computeQuietMs'
    | 'stop'
    | 'closeConnections'
  >;
  handover: Pick<OperationHandover, 'run'>;
  chat: Pick<ChatService, 'drain'>;
  log: Log;
}

/**
 * Leaves without cutting off a request: the gateway is no longer listed, hands
 * its operation records over, listens until callers can't have its address any
 * more, and finishes what it accepted.
 */
export class GatewayLeave {
  private readonly ended = new AbortController();

  constructor(
    private readonly parts: LeaveParts,
    private readonly times: LeaveTimes = defaultLeaveTimes,
  ) {}

  /** Resolves when nothing is in progress, at the bound, or after `end`. */
  async run(): Promise<void> {
    const {callers, log} = this.parts;
    const timer = setTimeout(() => this.end(), this.times.boundMs);
    const aborted = new Promise<void>(resolve =>
      this.ended.signal.addEventListener('abort', () => resolve()),
    );
    await Promise.race([this.finishAll(), aborted]);
    clearTimeout(timer);
    if (!this.ended.signal.aborted) return;
    log.warn('leave ended before everything was finished');
    callers.closeConnections();
  }

  /** Ends the leave at once. */
  end(): void {
    this.ended.abort();
  }

  private async finishAll(): Promise<void> {
    const {announceLeaving, callers, chat} = this.parts;
    announceLeaving();
    callers.announceLeaving();
    await Promise.all([this.finishOperations(), this.listenOn()]);
    await callers.stop();
    await chat.drain();
  }

  private async finishOperations(): Promise<void> {
    const {boundMs} = this.times;
    const finish = new AbortController();
    const confirm = new AbortController();
    const timers = [
      setTimeout(() => finish.abort(), boundMs * finishShare),
      setTimeout(() => confirm.abort(), boundMs * confirmShare),
    ];
    const {signal} = this.ended;
    await this.parts.handover.run(
      AbortSignal.any([finish.signal, signal]),
      AbortSignal.any([confirm.signal, signal]),
    );
    timers.forEach(clearTimeout);
  }

  /** Callers keep an address for the time to live of its answer. */
  private async listenOn(): Promise<void> {
    const {callers} = this.parts;
    const startedAtMs = performance.now();
    const {signal} = this.ended;
    while (!signal.aborted) {
      const elapsedMs = performance.now() - startedAtMs;
      if (elapsedMs >= this.times.listenMs) return;
      const quietMs = Math.min(callers.computeQuietMs(), elapsedMs);
      const gone =
        callers.countConnections() === 0 && quietMs >= this.times.quietMs;
      if (gone) return;
      await waitFor(pollMs, signal);
    }
  }
}
