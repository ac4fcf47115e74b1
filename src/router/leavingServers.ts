/** Handling of backend servers that announce in an answer that they leave. */
import {computeCompactKey} from './compactKey.js';
import {formatProcess, type BackendServer} from './deployment.js';
import type {ServerDirectory} from './serverDirectory.js';
import {NoticeResult, type SharedNotices} from './sharedNotices.js';

/**
 * Stops using a leaving process at once and notifies the other routers. The
 * platform may publish the change seconds later, or not at all.
 *
 * @example
 * if (answer.isLeaving) leaving.record(server);
 */
export class LeavingServers {
  /**
   * Accepts every key that no earlier listener recognises, because a notice may
   * name a process that this router hasn't seen yet.
   */
  constructor(
    private readonly directory: ServerDirectory,
    private readonly notices: SharedNotices,
  ) {
    notices.watch(key =>
      directory.removeProcess(key) ? NoticeResult.New : NoticeResult.Known,
    );
  }

  /** Records that a server is leaving; returns false if that was known. */
  record(server: BackendServer): boolean {
    const key = computeCompactKey(formatProcess(server));
    if (!this.directory.removeProcess(key)) return false;
    this.notices.announce(key);
    return true;
  }
}
