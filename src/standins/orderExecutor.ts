/** Executes orders to the model engine stand-in by loading models. */
import {isDeepStrictEqual} from 'node:util';
import {
  EngineRole,
  type EngineOrder,
  type EngineState,
  type LoadedModel,
} from '../protocol/engineApi.js';
import {waitFor} from './delay.js';
import {FencingMode, type EngineOptions} from './engineOptions.js';

/** Wait after a failed weight store read without `retry-after`. */
const defaultWeightRetryMs = 250;

/** Result of an order. */
export enum OrderResult {
  Accepted = 'accepted',
  /** Accepted although its fencing number is old. */
  AcceptedOld = 'acceptedOld',
  RefusedOld = 'refusedOld',
}

/** Holds the state that orders set. Models are loaded one after another. */
export class OrderExecutor {
  private readonly stopController = new AbortController();
  private readonly state: EngineState;
  private desiredModels: LoadedModel[];
  private isLoading = false;

  constructor(
    private readonly options: EngineOptions,
    models: LoadedModel[],
  ) {
    this.desiredModels = models;
    this.state = {models, role: EngineRole.Mixed, fencingNumber: 0};
  }

  /** Returns the loaded models, the role and the last fencing number. */
  getState(): EngineState {
    return this.state;
  }

  /** Sets the desired state; missing models load in the background. */
  accept(order: EngineOrder): OrderResult {
    const isOld = order.fencingNumber < this.state.fencingNumber;
    if (isOld && this.options.fencing === FencingMode.Honoured) {
      return OrderResult.RefusedOld;
    }
    this.desiredModels = order.models;
    this.state.role = order.role;
    this.state.fencingNumber = order.fencingNumber;
    this.state.models = this.state.models.filter(({model}) =>
      this.desiredModels.some(wanted => wanted.model === model),
    );
    void this.loadMissing();
    return isOld ? OrderResult.AcceptedOld : OrderResult.Accepted;
  }

  /** Stops loading permanently. */
  stop(): void {
    this.stopController.abort();
  }

  /**
   * Loads the desired models that are missing. A load in progress continues
   * when further orders arrive.
   */
  private async loadMissing(): Promise<void> {
    if (this.isLoading) return;
    this.isLoading = true;
    const {signal} = this.stopController;
    for (;;) {
      const next = this.desiredModels.find(model => !this.isLoaded(model));
      if (next === undefined || signal.aborted) break;
      await this.readWeights(next.model, signal);
      await waitFor(this.options.loadMs, signal);
      if (!signal.aborted) this.finishLoad(next);
    }
    this.isLoading = false;
  }

  /**
   * Adds a loaded model if it is still desired. It replaces an older version,
   * which is served until then.
   */
  private finishLoad(loaded: LoadedModel): void {
    if (!this.desiredModels.some(model => isDeepStrictEqual(model, loaded)))
      return;
    this.state.models = [
      ...this.state.models.filter(({model}) => model !== loaded.model),
      loaded,
    ];
  }

  private isLoaded(wanted: LoadedModel): boolean {
    return this.state.models.some(model => isDeepStrictEqual(model, wanted));
  }

  /** Reads weights from the weight store; retries until a read succeeds. */
  private async readWeights(model: string, signal: AbortSignal): Promise<void> {
    const {weightStoreUrl} = this.options;
    if (weightStoreUrl === undefined) return;
    const url = `${weightStoreUrl}/v1/weights/${encodeURIComponent(model)}`;
    while (!signal.aborted) {
      const response = await fetch(url, {signal}).catch(() => undefined);
      await response?.arrayBuffer().catch(() => undefined);
      if (response?.ok) return;
      const retryAfterSeconds = Number(response?.headers.get('retry-after'));
      await waitFor(retryAfterSeconds * 1000 || defaultWeightRetryMs, signal);
    }
  }
}
