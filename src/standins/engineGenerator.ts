/** Request processing of the model engine stand-in. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {chatRequestSchema} from '../protocol/callerApi.js';
import {
  computePrefixDigest,
  type CacheEvents,
  type LoadReport,
} from '../protocol/engineApi.js';
import {buildToken, type AnswerPlan} from './answerText.js';
import {BatchScheduler, type Job} from './batchScheduler.js';
import {incrementCount, type EngineCounters} from './engineCounters.js';
import {
  CrossedPart,
  hasPoison,
  takeStreamFaults,
  type EngineFaults,
} from './engineFaults.js';
import type {EngineOptions} from './engineOptions.js';
import {EngineStream, EarlyEndCause} from './engineStream.js';
import {LoadHistory} from './loadHistory.js';
import {PrefixCache} from './prefixCache.js';
import type {SeededRandom} from './seededRandom.js';

export const engineRequestSchema = chatRequestSchema.extend({
  priority: z.number().int().default(0),
  resume_from: z.number().int().nonnegative().default(0),
});
export type EngineRequest = z.output<typeof engineRequestSchema>;

/** A validated chat request with the response to stream its answer on. */
export interface AcceptedChat {
  request: EngineRequest;
  requestId: string;
  plan: AnswerPlan;
  response: ServerResponse;
}

/** Engine state that survives a crash. */
export interface EngineContext {
  options: EngineOptions;
  counters: EngineCounters;
  faults: EngineFaults;
  random: SeededRandom;
  /** Crashes the engine. */
  kill(): void;
}

interface EngineJob extends Job {
  readonly model: string;
  readonly plan: AnswerPlan;
  readonly firstTokenIndex: number;
  readonly isPoison: boolean;
  /** Id on the chunks; that of another request when ids are crossed. */
  chunkId: string;
  stream: EngineStream;
  isCrossed: boolean;
}

/** Generates answers in batches. A crash replaces the whole instance. */
export class EngineGenerator {
  private readonly scheduler: BatchScheduler<EngineJob>;
  private readonly load: LoadHistory;
  private readonly cache: PrefixCache;
  private readonly poisonTimers = new Set<NodeJS.Timeout>();
  private lastArrivalNumber = 0;

  constructor(private readonly context: EngineContext) {
    const {options, random} = context;
    this.load = new LoadHistory(options.slots, options.loadLagMs);
    this.cache = new PrefixCache(options, random);
    this.scheduler = new BatchScheduler(options.slots, options.stepMs, {
      start: job => this.startJob(job),
      generate: (job, index) => this.sendToken(job, index),
      finish: job => this.finish(job),
    });
    this.applyFaults();
  }

  /** Number of requests, running and waiting. */
  get requestsInFlight(): number {
    return this.scheduler.size;
  }

  /** Adds a request to the batch. */
  accept({request, requestId, plan, response}: AcceptedChat): void {
    const {faults} = this.context;
    this.lastArrivalNumber += 1;
    const job: EngineJob = {
      requestId,
      chunkId: requestId,
      model: request.model,
      plan,
      priority: request.priority,
      arrivalNumber: this.lastArrivalNumber,
      remainingPrefillMs: this.computePrefillMs(request, plan),
      firstTokenIndex: request.resume_from,
      nextTokenIndex: request.resume_from,
      tokenCount: plan.tokenCount,
      started: false,
      isCrossed: false,
      isPoison: hasPoison(faults, request.messages),
      stream: new EngineStream({
        response,
        requestId,
        faults: takeStreamFaults(faults),
        getDelayMs: () => faults.answerDelayMs,
        stop: cause => this.cancel(job, cause),
      }),
    };
    this.scheduler.add(job);
    this.load.record(this.scheduler.size);
  }

  /** Cancels all runs of a request and returns their number. */
  cancelRequest(requestId: string): number {
    const jobs = this.scheduler.listByRequest(requestId);
    for (const job of jobs) {
      this.cancel(job, EarlyEndCause.ClosedByClient);
      job.stream.end(false);
    }
    return jobs.length;
  }

  /** Sets the priority of all runs of a request and returns their number. */
  setPriority(requestId: string, priority: number): number {
    const jobs = this.scheduler.listByRequest(requestId);
    for (const job of jobs) job.priority = priority;
    return jobs.length;
  }

  /** Returns the load as it was `loadLagMs` ago. */
  reportLoad(): LoadReport {
    return this.load.report();
  }

  /** Lists the cache events after a number that are already visible. */
  listCacheEventsAfter(after: number): CacheEvents {
    return this.cache.listEventsAfter(after);
  }

  /** Applies changed faults to the scheduler. */
  applyFaults(): void {
    this.scheduler.slowFactor = this.context.faults.slowFactor;
  }

  /** Drops all requests and returns the number of tokens they had got. */
  stop(): number {
    for (const timer of this.poisonTimers) clearTimeout(timer);
    return this.scheduler
      .drain()
      .reduce((sum, job) => sum + job.nextTokenIndex - job.firstTokenIndex, 0);
  }

  /**
   * Computes the prefill time from the characters that are not cached. The
   * text before `resume_from` has to be prefilled as well.
   */
  private computePrefillMs(request: EngineRequest, plan: AnswerPlan): number {
    const {prefillMs, prefillCharacterMs} = this.context.options;
    const isCached = this.cache.touch(computePrefixDigest(request.messages));
    const firstNonSystemIndex = request.messages.findIndex(
      message => message.role !== 'system',
    );
    const prefixLength = firstNonSystemIndex <= 0 ? 1 : firstNonSystemIndex;
    const uncached = request.messages.slice(isCached ? prefixLength : 0);
    let characters = 0;
    for (const message of uncached) characters += message.content.length;
    for (let index = 0; index < request.resume_from; index += 1) {
      characters += buildToken(plan.fingerprint, index).length;
    }
    return prefillMs + prefillCharacterMs * characters;
  }

  private startJob(job: EngineJob): void {
    incrementCount(
      this.context.counters.runsByFingerprint,
      job.plan.fingerprint,
    );
    if (!job.isPoison) return;
    const timer = setTimeout(
      () => this.context.kill(),
      this.context.faults.poisonDelayMs,
    );
    this.poisonTimers.add(timer);
  }

  private sendToken(job: EngineJob, index: number): void {
    if (this.context.faults.crossNextPairs > 0) this.applyCrossing();
    this.context.counters.tokensGenerated += 1;
    const isLast = index === job.tokenCount - 1;
    this.sendChunk(job, index, buildToken(job.plan.fingerprint, index), isLast);
  }

  private sendChunk(
    job: EngineJob,
    index: number,
    content: string,
    isLast: boolean,
  ): void {
    job.stream.send({
      id: job.chunkId,
      object: 'chat.completion.chunk',
      created: Math.floor(Date.now() / 1000),
      model: job.model,
      token_index: index,
      choices: [
        {
          index: 0,
          delta: index === 0 ? {role: 'assistant', content} : {content},
          finish_reason: isLast ? job.plan.finishReason : null,
        },
      ],
    });
  }

  /** Crosses the answers of the first two running requests not yet crossed. */
  private applyCrossing(): void {
    const [a, b] = this.scheduler
      .listRunning()
      .filter(job => job.started && !job.isCrossed);
    if (b === undefined) return;
    const {faults} = this.context;
    faults.crossNextPairs -= 1;
    a.isCrossed = true;
    b.isCrossed = true;
    switch (faults.crossedPart) {
      case CrossedPart.Chunks:
        [a.stream, b.stream] = [b.stream, a.stream];
        break;
      case CrossedPart.Ids:
        [a.chunkId, b.chunkId] = [b.chunkId, a.chunkId];
        break;
    }
  }

  private finish(job: EngineJob): void {
    // A resumed request may have no tokens left; its client still needs the
    // finish reason.
    if (job.firstTokenIndex === job.tokenCount) {
      this.sendChunk(job, job.tokenCount, '', true);
    }
    job.stream.end(true);
    this.load.record(this.scheduler.size);
  }

  private cancel(job: EngineJob, cause: EarlyEndCause): void {
    if (!this.scheduler.remove(job)) return;
    if (cause === EarlyEndCause.ClosedByClient) {
      this.context.counters.tokensWasted +=
        job.nextTokenIndex - job.firstTokenIndex;
    }
    this.load.record(this.scheduler.size);
  }
}
