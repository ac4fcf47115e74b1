/** Connections to model engines, kept open between requests. */
import {Client, Pool, type Dispatcher} from 'undici';

const connectTimeoutMs = 1_000;
/** Pools without a connection are dropped above this number of pools. */
const maxIdlePools = 256;

const connectionOptions = {
  connect: {timeout: connectTimeoutMs},
  pipelining: 1,
  // The reader of each answer has limits of its own.
  headersTimeout: 0,
  bodyTimeout: 0,
};

/** A place to send one request, and what to do after it. */
export interface EngineConnection {
  readonly dispatcher: Dispatcher;
  /** Called when the request is over. */
  close(): void;
}

/** Counts over all pools. */
export interface EngineConnectionCounts {
  pools: number;
  connected: number;
  /** Requests that are being answered. */
  running: number;
  /** Open connections that take a request at once. */
  free: number;
}

/** One pool of connections for each engine address. */
export class EngineConnections {
  private readonly pools = new Map<string, Pool>();

  /** Returns a connection of the pool; it may have served requests before. */
  open(address: string): EngineConnection {
    const dispatcher = this.getPool(address);
    return {dispatcher, close: () => undefined};
  }

  /**
   * Returns a new connection, and has later requests open new ones too: when
   * one open connection went silent, the others may have.
   */
  openFresh(address: string): EngineConnection {
    const old = this.pools.get(address);
    this.pools.delete(address);
    void old?.close();
    const dispatcher = new Client(`http://${address}`, connectionOptions);
    return {dispatcher, close: () => void dispatcher.destroy()};
  }

  /** Counts for the dump; the new connections of retries are left out. */
  describe(): EngineConnectionCounts {
    const counts = {pools: this.pools.size, connected: 0, running: 0, free: 0};
    for (const {stats} of this.pools.values()) {
      counts.connected += stats.connected;
      counts.running += stats.running;
      counts.free += stats.free;
    }
    return counts;
  }

  /** Closes the connections that are not in use. */
  async stop(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.close()));
  }

  private getPool(address: string): Pool {
    const existing = this.pools.get(address);
    if (existing) return existing;
    if (this.pools.size >= maxIdlePools) this.dropIdle();
    const pool = new Pool(`http://${address}`, connectionOptions);
    this.pools.set(address, pool);
    return pool;
  }

  private dropIdle(): void {
    for (const [address, pool] of this.pools) {
      if (pool.stats.connected > 0 || pool.stats.size > 0) continue;
      this.pools.delete(address);
      void pool.close();
    }
  }
}
