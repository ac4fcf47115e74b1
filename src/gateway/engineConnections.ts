/** Pools of connections to model engines, kept open between requests. */
import {Client, Pool, type Dispatcher} from 'undici';

const connectTimeoutMs = 1_000;
/** Above this number of pools, those without a connection are dropped. */
const maxIdlePools = 256;

const connectionOptions = {
  connect: {timeout: connectTimeoutMs},
  pipelining: 1,
  // The reader of each answer applies its own timeouts.
  headersTimeout: 0,
  bodyTimeout: 0,
};

/** Connection for one request. */
export interface EngineConnection {
  readonly dispatcher: Dispatcher;
  /** Must be called when the request has ended. */
  close(): void;
}

/** Totals over all pools. */
export interface EngineConnectionCounts {
  pools: number;
  connected: number;
  /** Requests in progress. */
  running: number;
  /** Open connections that are idle. */
  free: number;
}

/** One pool of connections for each engine address. */
export class EngineConnections {
  private readonly pools = new Map<string, Pool>();

  /** Returns a pooled connection, which may have served requests before. */
  open(address: string): EngineConnection {
    const dispatcher = this.getPool(address);
    return {dispatcher, close: () => undefined};
  }

  /**
   * Returns a new connection outside the pool. Also discards the pool, so that
   * later requests open new connections: when one open connection has gone
   * silent, the others may have too.
   */
  openNew(address: string): EngineConnection {
    const old = this.pools.get(address);
    this.pools.delete(address);
    void old?.close();
    const dispatcher = new Client(`http://${address}`, connectionOptions);
    return {dispatcher, close: () => void dispatcher.destroy()};
  }

  /** Totals for the operators' dump, without connections opened for retries. */
  describe(): EngineConnectionCounts {
    const counts = {pools: this.pools.size, connected: 0, running: 0, free: 0};
    for (const {stats} of this.pools.values()) {
      counts.connected += stats.connected;
      counts.running += stats.running;
      counts.free += stats.free;
    }
    return counts;
  }

  /** Closes all pools after their requests have ended. */
  async stop(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.close()));
  }

  private getPool(address: string): Pool {
    const existing = this.pools.get(address);
    if (existing) return existing;
    if (this.pools.size >= maxIdlePools) this.closeIdlePools();
    const pool = new Pool(`http://${address}`, connectionOptions);
    this.pools.set(address, pool);
    return pool;
  }

  private closeIdlePools(): void {
    for (const [address, pool] of this.pools) {
      if (pool.stats.connected > 0 || pool.stats.size > 0) continue;
      this.pools.delete(address);
      void pool.close();
    }
  }
}
