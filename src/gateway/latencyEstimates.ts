/** The gateway's own measurements of its backend servers. */
import {computeMedian, DecayingMedian} from './decayingMedian.js';

/** Samples of one backend server that count. */
const serverWindow = 16;
const classWindow = 64;
/** Fewer samples of a server say nothing about it. */
const minServerSamples = 3;
/** Fewer servers give no median to compare with. */
const minServers = 2;
/** A server counts as slow above this many times the model's median ... */
const slowRatio = 3;
/** ... over at least this many samples ... */
const minSlowSamples = 5;
/** ... for this time after the last one; then it is tried again. */
const sampleLifeMs = 10_000;

/** What one request measured on one backend server, in milliseconds. */
export interface LatencySample {
  firstTokenMs?: number;
  betweenTokensMs?: number;
}

/** Medians over all servers of a model are computed at most this often. */
const medianLifeMs = 100;

interface ModelMedian {
  median: number | undefined;
  computedAtMs: number;
}

interface ServerLatencies {
  firstToken: DecayingMedian;
  betweenTokens: DecayingMedian;
  lastSampleAtMs: number;
}

type Metric = 'firstToken' | 'betweenTokens';

/** Medians by model and backend server, and by class. */
export class LatencyEstimates {
  private readonly models = new Map<string, Map<string, ServerLatencies>>();
  private readonly classes = new Map<string, DecayingMedian>();
  private readonly modelMedians = new Map<string, ModelMedian>();

  /** Adds a measurement of a backend server. */
  add(model: string, backendServer: string, sample: LatencySample): void {
    const {firstTokenMs, betweenTokensMs} = sample;
    const server = this.getServer(model, backendServer);
    server.lastSampleAtMs = performance.now();
    if (firstTokenMs !== undefined) server.firstToken.add(firstTokenMs);
    if (betweenTokensMs !== undefined) {
      server.betweenTokens.add(betweenTokensMs);
    }
  }

  /** Adds the time from grant to first token of a request of a class. */
  addFirstToken(className: string, firstTokenMs: number): void {
    let median = this.classes.get(className);
    if (!median) {
      median = new DecayingMedian(classWindow);
      this.classes.set(className, median);
    }
    median.add(firstTokenMs);
  }

  /** Learned time from grant to first token; 0 before the first request. */
  estimateFirstTokenMs(className: string): number {
    return this.classes.get(className)?.compute() ?? 0;
  }

  /**
   * Latency of a request against the median of the model's servers. The time
   * between tokens is compared where there is one: the time to the first token
   * depends on the prompt, too.
   */
  computeSlowness(model: string, sample: LatencySample): number | undefined {
    const {firstTokenMs, betweenTokensMs} = sample;
    const betweenRatio = this.computeRatio(
      model,
      'betweenTokens',
      betweenTokensMs,
    );
    return betweenRatio ?? this.computeRatio(model, 'firstToken', firstTokenMs);
  }

  /** True while this gateway sees that the server is slow. */
  isSlow(model: string, backendServer: string): boolean {
    const server = this.models.get(model)?.get(backendServer);
    if (!server) return false;
    const ageMs = performance.now() - server.lastSampleAtMs;
    if (ageMs > sampleLifeMs) return false;
    return (['betweenTokens', 'firstToken'] as const).some(metric => {
      if (server[metric].count() < minSlowSamples) return false;
      const ratio = this.computeRatio(model, metric, server[metric].compute());
      return ratio !== undefined && ratio > slowRatio;
    });
  }

  /** Medians of each backend server, for the dump. */
  describe(): object {
    const models = [...this.models].map(([model, servers]) => [
      model,
      Object.fromEntries(
        [...servers].map(([id, {firstToken, betweenTokens}]) => [
          id,
          {
            firstTokenMs: firstToken.compute(),
            betweenTokensMs: betweenTokens.compute(),
          },
        ]),
      ),
    ]);
    return Object.fromEntries(models) as object;
  }

  private computeRatio(
    model: string,
    metric: Metric,
    value: number | undefined,
  ): number | undefined {
    if (value === undefined) return undefined;
    const median = this.getModelMedian(model, metric);
    return median === undefined || median <= 0 ? undefined : value / median;
  }

  private getModelMedian(model: string, metric: Metric): number | undefined {
    const key = `${metric} ${model}`;
    const nowMs = performance.now();
    const cached = this.modelMedians.get(key);
    if (cached && nowMs - cached.computedAtMs < medianLifeMs) {
      return cached.median;
    }
    const median = this.computeModelMedian(model, metric);
    this.modelMedians.set(key, {median, computedAtMs: nowMs});
    return median;
  }

  /** Median of the servers' medians: a busy server counts no more than others. */
  private computeModelMedian(
    model: string,
    metric: Metric,
  ): number | undefined {
    const medians: number[] = [];
    for (const server of this.models.get(model)?.values() ?? []) {
      if (server[metric].count() < minServerSamples) continue;
      const median = server[metric].compute();
      if (median !== undefined) medians.push(median);
    }
    return medians.length < minServers ? undefined : computeMedian(medians);
  }

  private getServer(model: string, backendServer: string): ServerLatencies {
    let servers = this.models.get(model);
    if (!servers) {
      servers = new Map();
      this.models.set(model, servers);
    }
    const existing = servers.get(backendServer);
    const nowMs = performance.now();
    if (existing && nowMs - existing.lastSampleAtMs <= sampleLifeMs) {
      return existing;
    }
    // Samples from before a pause say nothing about the server now.
    const server = {
      firstToken: new DecayingMedian(serverWindow),
      betweenTokens: new DecayingMedian(serverWindow),
      lastSampleAtMs: nowMs,
    };
    servers.set(backendServer, server);
    return server;
  }
}
