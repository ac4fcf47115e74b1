/** Latency estimates from the gateway's own measurements. */
import {computeMedian, SlidingMedian} from './slidingMedian.js';

/** Number of samples kept per backend server. */
const serverWindowSize = 16;
const classWindowSize = 64;
/** Samples that a server needs to count towards the model's median. */
const minSamplesForMedian = 3;
/** Servers that are needed for a median of the model. */
const minServersForMedian = 2;
/** A server is slow when its median is above this multiple of the model's. */
const slowRatio = 3;
/** Samples that a server needs before it can be considered slow. */
const minSamplesForSlow = 5;
/**
 * Samples expire when no new one has arrived for this time, so that a slow
 * server is tried again.
 */
const sampleMaxAgeMs = 10_000;

/** Latencies of one request on one backend server, in milliseconds. */
export interface LatencySample {
  firstTokenMs?: number;
  betweenTokensMs?: number;
}

/** Time for which a model's median is cached. */
const medianCacheMs = 100;

interface ModelMedian {
  median: number | undefined;
  computedAtMs: number;
}

interface ServerLatencies {
  firstToken: SlidingMedian;
  betweenTokens: SlidingMedian;
  lastSampleAtMs: number;
}

type Metric = 'firstToken' | 'betweenTokens';

/** Keeps median latencies by model and backend server, and by class. */
export class LatencyEstimates {
  private readonly models = new Map<string, Map<string, ServerLatencies>>();
  private readonly classes = new Map<string, SlidingMedian>();
  private readonly modelMedians = new Map<string, ModelMedian>();

  /** Adds a latency sample of a backend server. */
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
      median = new SlidingMedian(classWindowSize);
      this.classes.set(className, median);
    }
    median.add(firstTokenMs);
  }

  /** Median time from grant to first token; 0 before the first request. */
  estimateFirstTokenMs(className: string): number {
    return this.classes.get(className)?.compute() ?? 0;
  }

  /**
   * Ratio of a request's latency to the median of the model's servers. The time
   * between tokens is compared if it is known, because the time to first token
   * also depends on the prompt.
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

  /** True while the server is slow by this gateway's measurements. */
  isSlow(model: string, backendServer: string): boolean {
    const server = this.models.get(model)?.get(backendServer);
    if (!server) return false;
    const ageMs = performance.now() - server.lastSampleAtMs;
    if (ageMs > sampleMaxAgeMs) return false;
    return (['betweenTokens', 'firstToken'] as const).some(metric => {
      if (server[metric].count() < minSamplesForSlow) return false;
      const ratio = this.computeRatio(model, metric, server[metric].compute());
      return ratio !== undefined && ratio > slowRatio;
    });
  }

  /** Medians of each backend server, for the operators' dump. */
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
    if (cached && nowMs - cached.computedAtMs < medianCacheMs) {
      return cached.median;
    }
    const median = this.computeModelMedian(model, metric);
    this.modelMedians.set(key, {median, computedAtMs: nowMs});
    return median;
  }

  /**
   * Median of the servers' medians, so that a busy server weighs no more than
   * others.
   */
  private computeModelMedian(
    model: string,
    metric: Metric,
  ): number | undefined {
    const medians: number[] = [];
    for (const server of this.models.get(model)?.values() ?? []) {
      if (server[metric].count() < minSamplesForMedian) continue;
      const median = server[metric].compute();
      if (median !== undefined) medians.push(median);
    }
    return medians.length < minServersForMedian
      ? undefined
      : computeMedian(medians);
  }

  private getServer(model: string, backendServer: string): ServerLatencies {
    let servers = this.models.get(model);
    if (!servers) {
      servers = new Map();
      this.models.set(model, servers);
    }
    const existing = servers.get(backendServer);
    const nowMs = performance.now();
    if (existing && nowMs - existing.lastSampleAtMs <= sampleMaxAgeMs) {
      return existing;
    }
    // Samples from before a pause no longer describe the server.
    const server = {
      firstToken: new SlidingMedian(serverWindowSize),
      betweenTokens: new SlidingMedian(serverWindowSize),
      lastSampleAtMs: nowMs,
    };
    servers.set(backendServer, server);
    return server;
  }
}
