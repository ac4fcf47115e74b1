/** Counters and latency histograms of model requests for the dump. */
import type {RefusalReason} from '../protocol/refusal.js';
import {LatencyHistogram} from '../node/latencyHistogram.js';
import type {RequestContext} from './requestContext.js';

/** Most backend servers with own histograms, which take about 2 KB each. */
const maxServerHistograms = 1_000;

/** Why tokens that an engine generated were wasted. */
export enum Waste {
  /** From the attempt that lost a hedge. */
  Hedge = 'hedge',
  /** Generated again by a resumed attempt. */
  Repeated = 'repeated',
  /** From an answer that was not completed. */
  Unfinished = 'unfinished',
}

interface ClassMetrics {
  firstToken: LatencyHistogram;
  betweenTokens: LatencyHistogram;
  queueWait: LatencyHistogram;
  answers: number;
  /** Answers that met both latency targets. */
  attained: number;
}

interface ServerMetrics {
  firstToken: LatencyHistogram;
  betweenTokens: LatencyHistogram;
}

/** Latencies of a complete answer as its caller saw them. */
export interface AnswerTimes {
  firstTokenMs: number;
  betweenTokensMs: number | undefined;
}

/** Collects metrics by request class and by backend server. */
export class GatewayMetrics {
  private readonly classes = new Map<string, ClassMetrics>();
  private readonly servers = new Map<string, ServerMetrics>();
  private readonly refusals: Record<string, number> = {};
  private readonly wastedTokens = {
    [Waste.Hedge]: 0,
    [Waste.Repeated]: 0,
    [Waste.Unfinished]: 0,
  };
  private retries = 0;
  private hedges = 0;
  private hedgesWon = 0;
  private tokens = 0;

  /** Records how long a request waited for a slot. */
  recordQueueWait(className: string, waitMs: number): void {
    this.getClass(className).queueWait.record(waitMs);
  }

  /** Records a complete answer. */
  recordAnswer(context: RequestContext, times: AnswerTimes): void {
    const {firstTokenMs, betweenTokensMs} = times;
    const metrics = this.getClass(context.className);
    metrics.answers += 1;
    metrics.firstToken.record(firstTokenMs);
    if (betweenTokensMs !== undefined) {
      metrics.betweenTokens.record(betweenTokensMs);
    }
    const {requestClass} = context;
    const betweenTargetMs = requestClass.betweenTokensMs ?? Infinity;
    const isAttained =
      firstTokenMs <= requestClass.firstTokenMs &&
      (betweenTokensMs ?? 0) <= betweenTargetMs;
    if (isAttained) metrics.attained += 1;
  }

  /** Records an attempt that ended; latencies count from its start. */
  recordAttempt(
    backendServer: string,
    times: Partial<AnswerTimes>,
    tokens: number,
  ): void {
    this.tokens += tokens;
    const metrics = this.getServer(backendServer);
    const {firstTokenMs, betweenTokensMs} = times;
    if (firstTokenMs !== undefined) metrics.firstToken.record(firstTokenMs);
    if (betweenTokensMs !== undefined) {
      metrics.betweenTokens.record(betweenTokensMs);
    }
  }

  countRefusal(reason: RefusalReason): void {
    this.refusals[reason] = (this.refusals[reason] ?? 0) + 1;
  }

  /** Counts an attempt after the first. */
  countRetry(): void {
    this.retries += 1;
  }

  /** Counts a hedged request. */
  countHedge(): void {
    this.hedges += 1;
  }

  /** Counts a hedged request whose second attempt answered first. */
  countHedgeWon(): void {
    this.hedgesWon += 1;
  }

  /** Counts wasted tokens. */
  countWaste(waste: Waste, tokens: number): void {
    this.wastedTokens[waste] += tokens;
  }

  /** Metrics for the dump. */
  describe(): object {
    return {
      classes: describeAll(this.classes, metrics => ({
        answers: metrics.answers,
        attained: metrics.attained,
        firstToken: metrics.firstToken.describe(),
        betweenTokens: metrics.betweenTokens.describe(),
        queueWait: metrics.queueWait.describe(),
      })),
      backendServers: describeAll(this.servers, metrics => ({
        firstToken: metrics.firstToken.describe(),
        betweenTokens: metrics.betweenTokens.describe(),
      })),
      refusals: {...this.refusals},
      retries: this.retries,
      hedges: this.hedges,
      hedgesWon: this.hedgesWon,
      tokens: this.tokens,
      wastedTokens: {...this.wastedTokens},
    };
  }

  private getClass(className: string): ClassMetrics {
    let metrics = this.classes.get(className);
    if (!metrics) {
      metrics = {
        firstToken: new LatencyHistogram(2),
        betweenTokens: new LatencyHistogram(2),
        queueWait: new LatencyHistogram(2),
        answers: 0,
        attained: 0,
      };
      this.classes.set(className, metrics);
    }
    return metrics;
  }

  private getServer(backendServer: string): ServerMetrics {
    const existing = this.servers.get(backendServer);
    if (existing) return existing;
    const [oldest] = this.servers.keys();
    if (this.servers.size >= maxServerHistograms) this.servers.delete(oldest);
    const metrics = {
      firstToken: new LatencyHistogram(1),
      betweenTokens: new LatencyHistogram(1),
    };
    this.servers.set(backendServer, metrics);
    return metrics;
  }
}

function describeAll<T>(
  entries: ReadonlyMap<string, T>,
  describe: (value: T) => object,
): Record<string, object> {
  return Object.fromEntries(
    [...entries].map(([name, value]) => [name, describe(value)]),
  );
}
