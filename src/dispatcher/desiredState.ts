/** Desired state of engines, as a pure function of the configuration. */
import {isDeepStrictEqual} from 'node:util';
import type {Configuration, ModelEngine} from '../config/configuration.js';
import type {
  EngineOrder,
  EngineState,
  LoadedModel,
} from '../protocol/engineApi.js';

/**
 * Computes the order that puts an engine into its desired state.
 *
 * @example
 * computeDesiredState(engine, configuration, 7).fencingNumber === 7
 */
export function computeDesiredState(
  engine: ModelEngine,
  {models}: Pick<Configuration, 'models'>,
  configNumber: number,
): EngineOrder {
  return {
    models: engine.models
      .map(model => ({model, ...models[model]}))
      .map(sortAdapters)
      .sort(compareModels),
    role: engine.role,
    fencingNumber: configNumber,
  };
}

/** Lists the models that an engine has to load for a desired state. */
export function listMissingModels(
  state: EngineState,
  desired: EngineOrder,
): LoadedModel[] {
  const loaded = state.models.map(sortAdapters);
  return desired.models.filter(
    model => !loaded.some(other => isDeepStrictEqual(other, model)),
  );
}

/** True if an engine's models and role are exactly those desired. */
export function isInDesiredState(
  state: EngineState,
  desired: EngineOrder,
): boolean {
  return (
    state.role === desired.role &&
    state.models.length === desired.models.length &&
    listMissingModels(state, desired).length === 0
  );
}

function sortAdapters({model, version, adapters}: LoadedModel): LoadedModel {
  return {model, version, adapters: [...adapters].sort()};
}

function compareModels(a: LoadedModel, b: LoadedModel): number {
  return a.model < b.model ? -1 : 1;
}
