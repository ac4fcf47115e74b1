/** Use of servers by one request, and the share of its customer. */
import type {FleetTotals} from '../fleetTotals/fleetTotals.js';
import {
  CustomerShares,
  ShareKind,
  type SentWork,
  type ShareState,
} from '../customerShares/customerShares.js';
import type {Claim, WaitCause} from '../customerShares/usageLedger.js';
import type {Log} from '../node/log.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {ForwardedRequest} from './forwardedRequest.js';
import type {Selection} from './selection.js';
import type {ServerSelector} from './serverSelector.js';

export interface CustomerSharesSources {
  /** False for a router that treats all customers of a tier as one. */
  readonly isEnabled: boolean;
  readonly totals: FleetTotals;
  readonly deployments: DeploymentStore;
  readonly log: Log;
}

/** Creates the shares of the customers that the deployment lists. */
export function buildCustomerShares({
  isEnabled,
  totals,
  deployments,
  log,
}: CustomerSharesSources): CustomerShares {
  const shares = new CustomerShares({
    totals,
    reportChange: ({service, tier, customer, isBeyond, usageMs, shareMs}) =>
      log.logInfo('customer share changed', {
        service,
        urgency: tier,
        customer,
        isBeyondShare: isBeyond,
        usageMs: Math.round(usageMs),
        shareMs: Number.isFinite(shareMs) ? Math.round(shareMs) : undefined,
      }),
  });
  if (!isEnabled) return shares;
  deployments.watch(({deployment: {customers = []}}) =>
    shares.setCustomers(customers.map(({name}) => name)),
  );
  return shares;
}

export interface RequestShareOptions {
  readonly shares: CustomerShares;
  readonly selector: ServerSelector;
}

/**
 * Accounts one request towards the share of its customer.
 *
 * @example
 * if (share.shouldYield()) share.recordRefusal(WaitCause.Share, selection);
 */
export class RequestShare {
  readonly claim: Claim;
  private readonly isEngine: boolean;
  private state: ShareState = {kind: ShareKind.Unlimited};

  constructor(
    private readonly options: RequestShareOptions,
    {exchange, service, urgency, customer = ''}: ForwardedRequest,
  ) {
    this.claim = {service, tier: urgency, customer};
    this.isEngine = exchange.request.promptParts.length > 0;
  }

  /** True if the customer was beyond its share at the last decision. */
  get isBeyond(): boolean {
    return this.state.kind === ShareKind.Beyond;
  }

  /** Customer whose requests wait in turn with those of others. */
  get queueCustomer(): string {
    return this.options.shares.isEnabled ? this.claim.customer : '';
  }

  /** True if the request leaves room to those of customers within theirs. */
  shouldYield(): boolean {
    return this.check().kind === ShareKind.Beyond;
  }

  /**
   * Returns the time after which the customer will be within its share, in
   * milliseconds; 0 if it is.
   */
  measureBeyondMs(): number {
    const state = this.check();
    return state.kind === ShareKind.Beyond ? state.withinMs : 0;
  }

  /** Estimates the time for which the request will use a server. */
  estimateUseMs(selection: Selection): number {
    const {selector} = this.options;
    const {service} = this.claim;
    return this.isEngine
      ? selector.estimatePrefillMs(selection) +
          selector.getSlotTimeMs(service) / selection.server.slots
      : selector.getServiceTimeMs(service);
  }

  /**
   * Computes the time for which the request has used a server, in milliseconds.
   *
   * @param firstEventAtMs - undefined if no event has arrived
   */
  computeUseMs(
    selection: Selection,
    sentAtMs: number,
    firstEventAtMs: number | undefined,
  ): number {
    const nowMs = performance.now();
    if (!this.isEngine) return nowMs - sentAtMs;
    const slotMs = nowMs - (firstEventAtMs ?? nowMs);
    const prefillMs = this.options.selector.estimatePrefillMs(selection);
    return prefillMs + slotMs / selection.server.slots;
  }

  /** Records that the request is sent. */
  recordSend(selection: Selection): SentWork {
    const expectedMs = this.estimateUseMs(selection);
    return this.options.shares.recordSend(this.claim, expectedMs);
  }

  /** Records that the request waits; see `CustomerShares.recordWait`. */
  recordWait(cause: WaitCause, selection: Selection): () => void {
    const expectedMs = this.estimateUseMs(selection);
    return this.options.shares.recordWait(this.claim, expectedMs, cause);
  }

  /** Records that the request is refused; see `CustomerShares`. */
  recordRefusal(cause: WaitCause, selection?: Selection): void {
    const expectedMs = selection && this.estimateUseMs(selection);
    this.options.shares.recordRefusal(this.claim, cause, expectedMs);
  }

  private check(): ShareState {
    this.state = this.options.shares.check(this.claim);
    return this.state;
  }
}
