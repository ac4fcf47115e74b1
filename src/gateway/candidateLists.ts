/** Lists the backend servers that can serve a target. */
import type {Configuration} from '../config/configuration.js';
import {getTargetName, matchTarget, type LeaseTarget} from './lease.js';

/** Caches one candidate list per configuration and target. */
export class CandidateLists {
  private readonly lists = new WeakMap<
    Configuration,
    Map<string, readonly string[]>
  >();

  /**
   * Returns the ids of the servers that can serve the target and aren't
   * leaving.
   */
  list(configuration: Configuration, target: LeaseTarget): readonly string[] {
    const lists = this.getLists(configuration);
    const key = `${target.kind} ${getTargetName(target)}`;
    const existing = lists.get(key);
    if (existing) return existing;
    const list = Object.entries(configuration.backendServers)
      .filter(([, server]) => matchTarget(server, target))
      .map(([id]) => id);
    lists.set(key, list);
    return list;
  }

  private getLists(
    configuration: Configuration,
  ): Map<string, readonly string[]> {
    const existing = this.lists.get(configuration);
    if (existing) return existing;
    const lists = new Map<string, readonly string[]>();
    this.lists.set(configuration, lists);
    return lists;
  }
}
