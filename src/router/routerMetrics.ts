/** Counters, gauges and latency histograms of a router, for Prometheus. */
import {Counter, Gauge, Registry} from 'prom-client';
import {LatencyHistogram} from '../node/latencyHistogram.js';
import type {RefusalReason} from '../protocol/refusal.js';
import type {RequestState} from './callerExchange.js';

/** A gauge that is evaluated at each scrape. */
export interface GaugeDefinition {
  readonly name: string;
  readonly help: string;
  readonly measure: () => number;
}

/** A gauge with one label, evaluated at each scrape. */
export interface LabelledGaugeDefinition {
  readonly name: string;
  readonly help: string;
  readonly label: string;
  readonly measure: () => Iterable<readonly [labelValue: string, number]>;
}

/** How an answer compares with the targets of its route. */
export enum Attainment {
  OnTime = 'onTime',
  /** The answer, or its first event, came after the target. */
  LateStart = 'lateStart',
  /** The start was on time, but a pause was longer than the route allows. */
  LongPause = 'longPause',
  /** A failed answer of a backend server was passed on. */
  Failed = 'failed',
}

/** Why a request is sent to another backend server. */
export enum RetryCause {
  Failed = 'failed',
  NotRun = 'notRun',
  Unreachable = 'unreachable',
}

/** Targets of a route, in milliseconds. */
export interface RouteTargets {
  readonly name: string;
  readonly targetMs: number;
  readonly maxPauseMs?: number;
}

/** Status and timing of an answer that was passed on, in milliseconds. */
export interface AnswerTimes {
  readonly status: number;
  /** Time to the answer, or to the first event of a stream. */
  readonly startMs: number;
  /** Longest pause between events; 0 for other answers. */
  readonly maxPauseMs: number;
}

/** Answers with this status or a higher one are failures. */
const minFailureStatus = 500;

/**
 * Classifies an answer by the targets of its route.
 *
 * @example
 * classifyAnswer({name: 'ask', targetMs: 500, maxPauseMs: 200},
 *     {status: 200, startMs: 90, maxPauseMs: 340}) === Attainment.LongPause
 */
export function classifyAnswer(
  {targetMs, maxPauseMs = Infinity}: RouteTargets,
  answer: AnswerTimes,
): Attainment {
  if (answer.status >= minFailureStatus) return Attainment.Failed;
  if (answer.startMs > targetMs) return Attainment.LateStart;
  if (answer.maxPauseMs > maxPauseMs) return Attainment.LongPause;
  return Attainment.OnTime;
}

/** Metrics of one router. */
export class RouterMetrics {
  private readonly registry = new Registry();
  private readonly latencies = new Map<string, LatencyHistogram>();
  private readonly waits = new Map<string, LatencyHistogram>();
  private readonly eventLoopLags = new LatencyHistogram(2);
  private readonly attainment: Counter<'route' | 'outcome'>;
  private readonly repeats: Counter<'service' | 'cause'>;
  private readonly answers: Counter<'route' | 'status'>;
  private readonly refusals: Counter<'route' | 'reason'>;
  private readonly unanswered: Counter<'state'>;

  constructor() {
    const registers = [this.registry];
    this.answers = new Counter({
      name: 'anvilstall_answers_total',
      help: 'Answers of backend servers that were passed on',
      labelNames: ['route', 'status'],
      registers,
    });
    this.refusals = new Counter({
      name: 'anvilstall_refusals_total',
      help: 'Refusals of the router by reason',
      labelNames: ['route', 'reason'],
      registers,
    });
    this.unanswered = new Counter({
      name: 'anvilstall_unanswered_total',
      help: 'Requests whose connection the router closed without a complete answer',
      labelNames: ['state'],
      registers,
    });
    this.attainment = new Counter({
      name: 'anvilstall_attainment_total',
      help: 'Answers against the targets of their routes',
      labelNames: ['route', 'outcome'],
      registers,
    });
    this.repeats = new Counter({
      name: 'anvilstall_repeats_total',
      help: 'Requests sent to another backend server by cause',
      labelNames: ['service', 'cause'],
      registers,
    });
    this.registerQuantiles(
      'anvilstall_answer_ms',
      'Time to the answer or the first event by quantile',
      this.latencies,
    );
    this.registerQuantiles(
      'anvilstall_wait_ms',
      'Time from the arrival of a request to its first send by quantile',
      this.waits,
    );
    this.registerGauge({
      name: 'anvilstall_event_loop_lag_p99_ms',
      help: 'Delay of timers, 99th percentile since the start',
      measure: () => this.eventLoopLags.describe().p99Ms,
    });
  }

  /** Registers a gauge that is evaluated at each scrape. */
  registerGauge({name, help, measure}: GaugeDefinition): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(measure()),
    });
  }

  /** Registers a gauge with one value for each value of a label. */
  registerLabelledGauge({
    name,
    help,
    label,
    measure,
  }: LabelledGaugeDefinition): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect: () => {
        gauge.reset();
        for (const [key, value] of measure()) gauge.set({[label]: key}, value);
      },
    });
  }

  recordAnswer(route: RouteTargets, answer: AnswerTimes): void {
    const {name} = route;
    this.answers.inc({route: name, status: String(answer.status)});
    const outcome = classifyAnswer(route, answer);
    this.attainment.inc({route: name, outcome});
    recordTime(this.latencies, name, answer.startMs);
  }

  /** @param ms - time from the arrival of a request to its first attempt */
  recordWait(route: string, ms: number): void {
    recordTime(this.waits, route, ms);
  }

  /** @param ms - time by which a timer was late */
  recordLag(ms: number): void {
    this.eventLoopLags.record(Math.max(0, ms));
  }

  countRetry(service: string, cause: RetryCause): void {
    this.repeats.inc({service, cause});
  }

  countRefusal(route: string, reason: RefusalReason): void {
    this.refusals.inc({route, reason});
  }

  countUnanswered(state: RequestState): void {
    this.unanswered.inc({state});
  }

  /** Returns all metrics in Prometheus's text exposition format. */
  format(): Promise<string> {
    return this.registry.metrics();
  }

  private registerQuantiles(
    name: string,
    help: string,
    histograms: ReadonlyMap<string, LatencyHistogram>,
  ): void {
    const gauge: Gauge<'route' | 'quantile'> = new Gauge({
      name,
      help,
      labelNames: ['route', 'quantile'],
      registers: [this.registry],
      collect: () => {
        for (const [route, histogram] of histograms) {
          const {p50Ms, p95Ms, p99Ms} = histogram.describe();
          gauge.set({route, quantile: '0.5'}, p50Ms);
          gauge.set({route, quantile: '0.95'}, p95Ms);
          gauge.set({route, quantile: '0.99'}, p99Ms);
        }
      },
    });
  }
}

function recordTime(
  histograms: Map<string, LatencyHistogram>,
  route: string,
  ms: number,
): void {
  let histogram = histograms.get(route);
  if (!histogram) {
    histogram = new LatencyHistogram(2);
    histograms.set(route, histogram);
  }
  histogram.record(ms);
}
