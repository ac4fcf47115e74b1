/** Removes what is kept about backend servers that have left. */
import type {BackendConnections} from './backendConnections.js';
import {computeCompactKey} from './compactKey.js';
import {formatProcess} from './deployment.js';
import type {PrefixCacheDirectory} from './promptDirectory.js';
import type {ServerDirectory} from './serverDirectory.js';
import type {ServerLimits} from './serverLimits.js';
import type {ServerOutcomes} from './serverOutcomes.js';
import {computeLimitKey} from './serverSelector.js';

/** Components that keep state about servers. */
export interface EndedServersOptions {
  readonly directory: ServerDirectory;
  readonly connections: BackendConnections;
  readonly outcomes: ServerOutcomes;
  readonly prompts: PrefixCacheDirectory;
  readonly limits: ServerLimits;
}

/**
 * Remembers the processes of the usable servers, to find those that have ended.
 *
 * @example
 * const ended = new EndedServers(options);
 * ended.removeState(); // at each sweep
 */
export class EndedServers {
  /** Processes by server id; see `formatProcess`. */
  private readonly processes = new Map<string, string>();

  constructor(private readonly options: EndedServersOptions) {}

  /** Removes the state of servers that have ended since the last call. */
  removeState(): void {
    const {directory, connections, outcomes, prompts, limits} = this.options;
    for (const [id, process] of this.processes) {
      const server = directory.findUsable(id);
      if (server && formatProcess(server) === process) continue;
      this.processes.delete(id);
      connections.release(id);
      outcomes.forget(id);
      prompts.forgetServer(computeCompactKey(id));
    }
    for (const server of directory.listAll()) {
      this.processes.set(server.id, formatProcess(server));
    }
    if (limits.isEmpty) return;
    const running = new Set([...directory.listAll()].map(computeLimitKey));
    limits.forgetEnded(key => running.has(key));
  }
}
