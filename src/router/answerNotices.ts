/** What backend servers say of themselves in their answers. */
import type {Log} from '../node/log.js';
import type {BackendServer} from './deployment.js';
import type {LeavingServers} from './leavingServers.js';
import type {BackendAnswer} from './messageCodec.js';
import type {ServerLimits} from './serverLimits.js';
import {computeLimitKey} from './serverSelector.js';

export interface AnswerNoticesOptions {
  readonly leaving: LeavingServers;
  readonly limits: ServerLimits;
  readonly log: Log;
}

/**
 * Records that a server leaves, or that it limits its requests.
 *
 * @example
 * const notices = new AnswerNotices({leaving, limits, log});
 * notices.record(server, answer, sentAtMs);
 */
export class AnswerNotices {
  constructor(private readonly options: AnswerNoticesOptions) {}

  /** @param sentAtMs - `performance.now()` when the request was sent */
  record(server: BackendServer, answer: BackendAnswer, sentAtMs: number): void {
    const {leaving, log} = this.options;
    this.recordLimit(server, answer, sentAtMs);
    if (!answer.isLeaving || !leaving.record(server)) return;
    log.logInfo('backend server is leaving', {server: server.id});
  }

  private recordLimit(
    server: BackendServer,
    {isOtherProcess, isNotRun, hasStamp, limitPerSecond}: BackendAnswer,
    sentAtMs: number,
  ): void {
    if (isOtherProcess) return;
    // A rejection may come from what stands before the server; it doesn't show
    // that the limit has ended.
    const isRun = hasStamp && !isNotRun;
    if (limitPerSecond === undefined && !isRun) return;
    const {limits, log} = this.options;
    const key = computeLimitKey(server);
    if (!limits.recordAnswer(key, limitPerSecond, sentAtMs)) return;
    const perSecond = limitPerSecond ?? null;
    log.logInfo('server limit changed', {server: server.id, perSecond});
  }
}
