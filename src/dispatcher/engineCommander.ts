/** Keeps engines in the state that the configuration desires. */
import type {Configuration, ModelEngine} from '../config/configuration.js';
import type {Log} from '../node/log.js';
import type {EngineState} from '../protocol/engineApi.js';
import {
  computeDesiredState,
  listMissingModels,
  matchDesired,
} from './desiredState.js';
import {OrderResult, type EngineClient} from './engineClient.js';
import type {WeightBudget} from './weightBudget.js';

/** An order that had no effect is repeated after this time. */
export const orderRepeatMs = 30_000;

/** What a check of an engine came to. */
export enum CommandResult {
  Unreachable = 'unreachable',
  InState = 'inState',
  /** The engine carries out an order that it has got. */
  Loading = 'loading',
  /** The engine was commanded under a newer configuration. */
  NewerElsewhere = 'newerElsewhere',
  /** The weight store's budget is spent. */
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

export interface EngineCommanderOptions {
  engines: Pick<EngineClient, 'readState' | 'sendOrder'>;
  budget: WeightBudget;
  /** Key for engines that verify who sends an order. */
  orderKey?: string;
  log: Log;
}

interface SentOrder {
  digest: string;
  fencingNumber: number;
  /** Number that the engine reported before the order. */
  numberBefore: number;
  /** True once the engine has reported the number of the order. */
  numberSeen: boolean;
  sentAtMs: number;
}

/**
 * Reads an engine's state back and sends an order when it differs. The number
 * of the configuration is the fencing number. An engine that ignores it may
 * have obeyed an older order after a newer one; the next check corrects it.
 */
export class EngineCommander {
  private readonly sent = new Map<string, SentOrder>();
  private readonly results = new Map<string, CommandResult>();

  constructor(private readonly options: EngineCommanderOptions) {}

  /** Checks one engine, and commands it when needed. */
  async check(check: EngineCheck): Promise<CommandResult> {
    const result = await this.compare(check);
    const before = this.results.get(check.id);
    this.results.set(check.id, result);
    if (result === CommandResult.Refused && before !== result) {
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

  /** Result of the last check, for the dump. */
  getResult(id: string): CommandResult | undefined {
    return this.results.get(id);
  }

  private async compare(check: EngineCheck): Promise<CommandResult> {
    const {id, engine, configuration, configNumber} = check;
    const state = await this.options.engines.readState(engine.address);
    if (state.isErr()) return CommandResult.Unreachable;
    if (state.value.fencingNumber > configNumber) {
      return CommandResult.NewerElsewhere;
    }
    const desired = computeDesiredState(engine, configuration, configNumber);
    if (matchDesired(state.value, desired)) {
      this.sent.delete(id);
      return CommandResult.InState;
    }
    const digest = JSON.stringify({...desired, fencingNumber: 0});
    if (this.isLoading(id, digest, state.value)) {
      return CommandResult.Loading;
    }
    const loads = listMissingModels(state.value, desired).length;
    if (!this.options.budget.take(loads)) return CommandResult.Deferred;
    this.sent.set(id, {
      digest,
      fencingNumber: configNumber,
      numberBefore: state.value.fencingNumber,
      numberSeen: false,
      sentAtMs: Date.now(),
    });
    const key = engine.verifiesSender ? this.options.orderKey : undefined;
    const result = await this.options.engines.sendOrder(
      engine.address,
      desired,
      key,
    );
    if (result.isOk() && result.value === OrderResult.Accepted) {
      return CommandResult.Sent;
    }
    this.sent.delete(id);
    return result.isErr() ? CommandResult.Unreachable : CommandResult.Refused;
  }

  /** True while the engine still works on the same order. */
  private isLoading(id: string, digest: string, state: EngineState): boolean {
    const sent = this.sent.get(id);
    if (!sent || sent.digest !== digest) return false;
    const {fencingNumber} = state;
    // Another number tells of a later order, or of a restart. Some engines
    // that ignore numbers never change the one that they report.
    if (fencingNumber === sent.fencingNumber) sent.numberSeen = true;
    else if (sent.numberSeen || fencingNumber !== sent.numberBefore) {
      return false;
    }
    return Date.now() - sent.sentAtMs < orderRepeatMs;
  }
}
