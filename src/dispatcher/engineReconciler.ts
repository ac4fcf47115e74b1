/** Brings engines into the state that the configuration requires. */
import type {Configuration, ModelEngine} from '../config/configuration.js';
import type {Log} from '../node/log.js';
import type {EngineState} from '../protocol/engineApi.js';
import {
  computeDesiredState,
  listMissingModels,
  isInDesiredState,
} from './desiredState.js';
import {OrderResult, type EngineClient} from './engineClient.js';
import type {WeightLoadBudget} from './weightLoadBudget.js';

/** An order that had no effect is sent again after this time. */
export const orderRetryMs = 30_000;

/** Outcome of a check of an engine. */
export enum ReconcileResult {
  Unreachable = 'unreachable',
  InState = 'inState',
  /** The engine is still executing the last order. */
  Loading = 'loading',
  /** The engine has received an order of a newer configuration. */
  NewerElsewhere = 'newerElsewhere',
  /** The weight load budget is exhausted. */
  Deferred = 'deferred',
  Sent = 'sent',
  Refused = 'refused',
}

export interface EngineCheck {
  id: string;
  engine: ModelEngine;
  configuration: Configuration;
  configNumber: number;
}

export interface EngineReconcilerOptions {
  engines: Pick<EngineClient, 'readState' | 'sendOrder'>;
  budget: WeightLoadBudget;
  /** Key for engines that verify the sender of an order. */
  orderKey?: string;
  log: Log;
}

interface SentOrder {
  digest: string;
  fencingNumber: number;
  /** Fencing number that the engine reported before the order. */
  previousNumber: number;
  /** True once the engine has reported the fencing number of the order. */
  acknowledged: boolean;
  sentAtMs: number;
}

/**
 * Reads the state of an engine, and sends an order if it differs from the
 * desired state. The number of the configuration serves as the fencing number.
 * An engine that ignores fencing numbers may execute an old order after a newer
 * one; the next check corrects this.
 */
export class EngineReconciler {
  private readonly sent = new Map<string, SentOrder>();
  private readonly results = new Map<string, ReconcileResult>();

  constructor(private readonly options: EngineReconcilerOptions) {}

  /** Checks one engine, and sends it an order if needed. */
  async check(check: EngineCheck): Promise<ReconcileResult> {
    const result = await this.compareAndSend(check);
    const before = this.results.get(check.id);
    this.results.set(check.id, result);
    if (result === ReconcileResult.Refused && before !== result) {
      this.options.log.warn('engine refused an order', {
        backendServer: check.id,
        configNumber: check.configNumber,
      });
    }
    return result;
  }

  /** Forgets an engine that is no longer owned. */
  forget(id: string): void {
    this.sent.delete(id);
    this.results.delete(id);
  }

  /** Result of the last check, for the operators' dump. */
  getResult(id: string): ReconcileResult | undefined {
    return this.results.get(id);
  }

  private async compareAndSend(check: EngineCheck): Promise<ReconcileResult> {
    const {id, engine, configuration, configNumber} = check;
    const state = await this.options.engines.readState(engine.address);
    if (state.isErr()) return ReconcileResult.Unreachable;
    if (state.value.fencingNumber > configNumber) {
      return ReconcileResult.NewerElsewhere;
    }
    const desired = computeDesiredState(engine, configuration, configNumber);
    if (isInDesiredState(state.value, desired)) {
      this.sent.delete(id);
      return ReconcileResult.InState;
    }
    // Without the fencing number, because orders of two configurations that
    // require the same state count as the same order.
    const digest = JSON.stringify({...desired, fencingNumber: 0});
    if (this.isLoading(id, digest, state.value)) {
      return ReconcileResult.Loading;
    }
    const loads = listMissingModels(state.value, desired).length;
    if (!this.options.budget.tryTake(loads)) return ReconcileResult.Deferred;
    this.sent.set(id, {
      digest,
      fencingNumber: configNumber,
      previousNumber: state.value.fencingNumber,
      acknowledged: false,
      sentAtMs: Date.now(),
    });
    const key = engine.verifiesSender ? this.options.orderKey : undefined;
    const result = await this.options.engines.sendOrder(
      engine.address,
      desired,
      key,
    );
    if (result.isOk() && result.value === OrderResult.Accepted) {
      return ReconcileResult.Sent;
    }
    this.sent.delete(id);
    return result.isErr()
      ? ReconcileResult.Unreachable
      : ReconcileResult.Refused;
  }

  /** True while the engine is still executing the same order. */
  private isLoading(id: string, digest: string, state: EngineState): boolean {
    const sent = this.sent.get(id);
    if (!sent || sent.digest !== digest) return false;
    const {fencingNumber} = state;
    // A different number indicates a later order or a restart. Some engines
    // that ignore fencing numbers never change the one that they report.
    if (fencingNumber === sent.fencingNumber) sent.acknowledged = true;
    else if (sent.acknowledged || fencingNumber !== sent.previousNumber) {
      return false;
    }
    return Date.now() - sent.sentAtMs < orderRetryMs;
  }
}
