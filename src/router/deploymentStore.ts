/** Holds the deployment in force; never returns to an older version. */
import type {Log} from '../node/log.js';
import type {PublishedDeployment} from './publishedState.js';
import {RouteTable} from './routeTable.js';

/** Holds the newest deployment and notifies listeners of newer ones. */
export class DeploymentStore {
  private current:
    {published: PublishedDeployment; table: RouteTable} | undefined;
  private readonly listeners: Array<(table: RouteTable) => void> = [];

  constructor(private readonly log: Log) {}

  /** Version in force; 0 before the first deployment. */
  get version(): number {
    return this.current?.published.deployment.version ?? 0;
  }

  /** Routes in force; undefined before the first deployment. */
  get table(): RouteTable | undefined {
    return this.current?.table;
  }

  /** The deployment as published, for peers that read it from this router. */
  get document(): string | undefined {
    return this.current?.published.document;
  }

  /** Calls the listener whenever a newer version takes effect. */
  watch(listener: (table: RouteTable) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Puts a deployment in force if it is newer than the one in force; returns
   * whether it did.
   *
   * @param source - where it was read from, for the log
   * @param readMs - how long reading it took, in milliseconds, for the log
   */
  adopt(
    published: PublishedDeployment,
    source: string,
    readMs?: number,
  ): boolean {
    const {version} = published.deployment;
    if (version <= this.version) return false;
    const before = this.version;
    const table = new RouteTable(published.deployment);
    this.current = {published, table};
    this.log.logInfo('deployment adopted', {
      version,
      before,
      source,
      readMs,
    });
    for (const listener of this.listeners) listener(table);
    return true;
  }
}
