/** What one customer can still use at this gateway. */
import type {Customer} from '../config/configuration.js';
import type {LimitDemand, LimitSource} from './limitSource.js';

/** Time that one draw is meant for. */
export const sliceMs = 250;
const millisecondsPerSecond = 1_000;
/** Wait of a caller when the source names none. */
const defaultRetryMs = sliceMs;

/** Limits of a customer as they are in force now. */
export type CustomerRates = Pick<
  Customer,
  'requestsPerSecond' | 'tokensPerSecond'
>;

/**
 * Requests and tokens drawn in slices. Tokens are charged when an answer has
 * ended, so they can go below zero; no request is admitted until draws have
 * made up for them. Without an answer of the source, the budget grows by an
 * equal share of the limit.
 */
export class CustomerBudget {
  private requests = 0;
  private tokens = 0;
  private usedRequests = 0;
  private usedTokens = 0;
  private drawing: Promise<void> | undefined;
  private usesShare = false;
  private sliceStartedAtMs = performance.now();
  private sharedAtMs = performance.now() - sliceMs;
  /** `performance.now()` before which a draw is of no use. */
  private requestsAfterMs = 0;
  private tokensAfterMs = 0;

  constructor(
    private readonly customerId: string,
    private readonly source: LimitSource,
    /** VMs among which an unreachable source's limit is divided. */
    private readonly countShares: () => number,
  ) {}

  /** Takes one request; false when the budget is used up. */
  tryTake(usesTokens: boolean): boolean {
    if (this.requests < 1 || (usesTokens && this.tokens < 0)) return false;
    this.requests -= 1;
    this.usedRequests += 1;
    return true;
  }

  /** Charges the tokens of an answer that has ended. */
  chargeTokens(tokens: number): void {
    this.tokens -= tokens;
    this.usedTokens += tokens;
  }

  /** True when a draw ahead of the next request makes sense. */
  shouldDraw(): boolean {
    const nowMs = performance.now();
    const lowRequests = this.requests < Math.max(1, this.usedRequests / 2);
    return (
      (lowRequests && nowMs >= this.requestsAfterMs) ||
      (this.tokens <= 0 && nowMs >= this.tokensAfterMs)
    );
  }

  /** Milliseconds until the next draw makes sense for a request. */
  computeBlockedMs(usesTokens: boolean): number {
    const untilMs = Math.max(
      this.requests < 1 ? this.requestsAfterMs : 0,
      usesTokens && this.tokens < 0 ? this.tokensAfterMs : 0,
    );
    return Math.max(0, untilMs - performance.now());
  }

  /** True while the last draw had no answer, so that the share applies. */
  isSharing(): boolean {
    return this.usesShare;
  }

  /** Draws a slice; calls at the same time share one draw. */
  draw(rates: CustomerRates, waiting: number): Promise<void> {
    this.drawing ??= this.drawSlice(rates, waiting).finally(() => {
      this.drawing = undefined;
    });
    return this.drawing;
  }

  /** State for the dump. */
  describe(): object {
    const {requests, tokens} = this;
    const blockedMs = Math.ceil(this.computeBlockedMs(true));
    return {requests, tokens, blockedMs};
  }

  private async drawSlice(
    rates: CustomerRates,
    waiting: number,
  ): Promise<void> {
    const demand = this.computeDemand(waiting);
    const drawn = await this.source.draw(this.customerId, demand);
    // A dispatcher that doesn't allocate says nothing about the limit.
    this.usesShare = drawn.isErr() || drawn.value.moved === true;
    if (drawn.isErr() || drawn.value.moved) return this.addShare(rates);
    // A later failure of the source must not count this time again.
    this.sharedAtMs = performance.now();
    const {requests, tokens, retryAfterMs} = drawn.value;
    this.add(rates, requests, tokens);
    const afterMs = performance.now() + (retryAfterMs || defaultRetryMs);
    if (requests < Math.min(1, demand.requests)) this.requestsAfterMs = afterMs;
    // Answers that ended during the draw may owe more than it asked for.
    if (tokens < demand.tokens) this.tokensAfterMs = afterMs;
  }

  /** Asks for what the last slice took, and for what is owed or waits. */
  private computeDemand(waiting: number): LimitDemand {
    const elapsedMs = Math.max(1, performance.now() - this.sliceStartedAtMs);
    const scale = Math.min(1, sliceMs / elapsedMs);
    const demand = {
      requests: Math.max(1, waiting, Math.ceil(this.usedRequests * scale)),
      tokens: Math.max(1, -this.tokens + Math.ceil(this.usedTokens * scale)),
    };
    this.usedRequests = 0;
    this.usedTokens = 0;
    this.sliceStartedAtMs = performance.now();
    return demand;
  }

  private addShare(rates: CustomerRates): void {
    const nowMs = performance.now();
    const shares = Math.max(1, this.countShares());
    const seconds = (nowMs - this.sharedAtMs) / millisecondsPerSecond / shares;
    this.sharedAtMs = nowMs;
    const {requestsPerSecond, tokensPerSecond} = rates;
    this.add(rates, requestsPerSecond * seconds, tokensPerSecond * seconds);
    const secondMs = millisecondsPerSecond * shares;
    const missing = Math.max(0, 1 - this.requests) / requestsPerSecond;
    const owed = Math.max(0, -this.tokens) / tokensPerSecond;
    this.requestsAfterMs = nowMs + missing * secondMs;
    this.tokensAfterMs = nowMs + owed * secondMs;
  }

  /** Adds to the budget; what is not used never grows above a slice. */
  private add(rates: CustomerRates, requests: number, tokens: number): void {
    const sliceSeconds = sliceMs / millisecondsPerSecond;
    const maxRequests = Math.max(1, rates.requestsPerSecond * sliceSeconds);
    const maxTokens = Math.max(1, rates.tokensPerSecond * sliceSeconds);
    // What was drawn for requests that wait can be more than a slice.
    const drawn = Math.min(maxRequests, this.requests + requests);
    this.requests = Math.max(requests, drawn);
    this.tokens = Math.min(maxTokens, this.tokens + tokens);
  }
}
