/** Budget of one customer at this gateway. */
import type {Customer} from '../config/configuration.js';
import type {LimitDemand, LimitSource} from './limitSource.js';

/** Period of traffic that one draw should cover. */
export const sliceDurationMs = 250;
const millisecondsPerSecond = 1_000;
/** Delay before the next draw when the source gives none. */
const defaultRetryDelayMs = sliceDurationMs;

/** The rate limits of a customer that are currently in force. */
export type CustomerRates = Pick<
  Customer,
  'requestsPerSecond' | 'tokensPerSecond'
>;

/**
 * Draws requests and tokens from the limit source in slices. Tokens are charged
 * when an answer has ended, so their balance can become negative; then no
 * request that uses tokens is admitted until draws have made up for the debt.
 * While the source gives no answer, the budget grows by an equal share of the
 * limit.
 */
export class CustomerBudget {
  private requests = 0;
  private tokens = 0;
  private usedRequests = 0;
  private usedTokens = 0;
  private drawing: Promise<void> | undefined;
  private usesEqualShare = false;
  private sliceStartedAtMs = performance.now();
  private shareAddedAtMs = performance.now() - sliceDurationMs;
  /** `performance.now()` before which the source cannot give more requests. */
  private nextRequestsDrawAtMs = 0;
  private nextTokensDrawAtMs = 0;

  constructor(
    private readonly customerId: string,
    private readonly source: LimitSource,
    /** Number of equal shares of the limit while the source is unreachable. */
    private readonly countShares: () => number,
  ) {}

  /** Takes one request from the budget; false when the budget is used up. */
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

  /** True when the budget is low enough to draw ahead of the next request. */
  shouldDraw(): boolean {
    const nowMs = performance.now();
    const isLowOnRequests = this.requests < Math.max(1, this.usedRequests / 2);
    return (
      (isLowOnRequests && nowMs >= this.nextRequestsDrawAtMs) ||
      (this.tokens <= 0 && nowMs >= this.nextTokensDrawAtMs)
    );
  }

  /** Milliseconds until a draw can provide what a request lacks. */
  computeBlockedMs(usesTokens: boolean): number {
    const untilMs = Math.max(
      this.requests < 1 ? this.nextRequestsDrawAtMs : 0,
      usesTokens && this.tokens < 0 ? this.nextTokensDrawAtMs : 0,
    );
    return Math.max(0, untilMs - performance.now());
  }

  /**
   * True while the equal share applies, because the last draw had no answer.
   */
  isUsingEqualShare(): boolean {
    return this.usesEqualShare;
  }

  /** Draws a slice; concurrent calls share one draw. */
  draw(rates: CustomerRates, waiting: number): Promise<void> {
    this.drawing ??= this.drawSlice(rates, waiting).finally(() => {
      this.drawing = undefined;
    });
    return this.drawing;
  }

  /** State for the operators' dump. */
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
    // A dispatcher that does not allocate this budget has no information on the
    // limit.
    this.usesEqualShare = drawn.isErr() || drawn.value.moved === true;
    if (drawn.isErr() || drawn.value.moved) return this.addShare(rates);
    // Time covered by this draw must not be credited again as a share when a
    // later draw fails.
    this.shareAddedAtMs = performance.now();
    const {requests, tokens, retryAfterMs} = drawn.value;
    this.add(rates, requests, tokens);
    const nextDrawAtMs =
      performance.now() + (retryAfterMs || defaultRetryDelayMs);
    if (requests < Math.min(1, demand.requests))
      this.nextRequestsDrawAtMs = nextDrawAtMs;
    // There is no delay when the demand was met: answers that ended during the
    // draw may have added debt that the next draw can cover at once.
    if (tokens < demand.tokens) this.nextTokensDrawAtMs = nextDrawAtMs;
  }

  /**
   * Demands as much as the last slice used, and enough for the token debt and
   * the waiting requests.
   */
  private computeDemand(waiting: number): LimitDemand {
    const elapsedMs = Math.max(1, performance.now() - this.sliceStartedAtMs);
    const scale = Math.min(1, sliceDurationMs / elapsedMs);
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
    const seconds =
      (nowMs - this.shareAddedAtMs) / millisecondsPerSecond / shares;
    this.shareAddedAtMs = nowMs;
    const {requestsPerSecond, tokensPerSecond} = rates;
    this.add(rates, requestsPerSecond * seconds, tokensPerSecond * seconds);
    // Time in which one share yields what the whole limit yields in a second.
    const shareSecondMs = millisecondsPerSecond * shares;
    const missingRequestSeconds =
      Math.max(0, 1 - this.requests) / requestsPerSecond;
    const tokenDebtSeconds = Math.max(0, -this.tokens) / tokensPerSecond;
    this.nextRequestsDrawAtMs = nowMs + missingRequestSeconds * shareSecondMs;
    this.nextTokensDrawAtMs = nowMs + tokenDebtSeconds * shareSecondMs;
  }

  /** Adds to the budget; unused budget is capped at one slice. */
  private add(rates: CustomerRates, requests: number, tokens: number): void {
    const sliceSeconds = sliceDurationMs / millisecondsPerSecond;
    const maxRequests = Math.max(1, rates.requestsPerSecond * sliceSeconds);
    const maxTokens = Math.max(1, rates.tokensPerSecond * sliceSeconds);
    // A draw for waiting requests can exceed one slice.
    const drawn = Math.min(maxRequests, this.requests + requests);
    this.requests = Math.max(requests, drawn);
    this.tokens = Math.min(maxTokens, this.tokens + tokens);
  }
}
