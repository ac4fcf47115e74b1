/** Processes of backend servers that said in an answer that they leave. */
import {computeKey} from './compactKey.js';
import {formatProcess, type BackendServer} from './deployment.js';
import type {ServerDirectory} from './serverDirectory.js';
import {Notice, type SharedNotices} from './sharedNotices.js';

/**
 * Takes leaving processes out of use at once, and tells the other routers: the
 * platform may publish it seconds later, or not at all.
 *
 * @example
 * if (answer.isLeaving) leaving.record(server);
 */
export class LeavingServers {
  /**
   * Takes all keys that are foreign to others, because a process may leave before
   * this router has heard of it.
   */
  constructor(
    private readonly directory: ServerDirectory,
    private readonly notices: SharedNotices,
  ) {
    notices.watch(key =>
      directory.removeProcess(key) ? Notice.News : Notice.Known,
    );
  }

  /** Takes what an answer said; true when it is news. */
  record(server: BackendServer): boolean {
    const key = computeKey(formatProcess(server));
    if (!this.directory.removeProcess(key)) return false;
    this.notices.announce(key);
    return true;
  }
}
