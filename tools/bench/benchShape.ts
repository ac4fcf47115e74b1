/** Sizes of the fleets that the bench starts. */
import {
  BackendServerKind,
  ClassKind,
  Fencing,
  type Configuration,
  type RequestClass,
} from '../../src/config/configuration.js';
import {EngineRole} from '../../src/protocol/engineApi.js';
import {
  deploymentShapes,
  type DeploymentShape,
  type Region,
} from '../sampleDeployments.js';

/** Options of the stand-in engines. */
export interface EngineFlags {
  slots: number;
  stepMs: number;
  prefillMs: number;
  loadLagMs: number;
}

/**
 * Slots of all engines together. With 104 slots and steps of 15 ms, 320
 * requests a second took all 10 cores, so that the figures were the machine's.
 */
const maxSlotSum = 56;
const maxEngineSlots = 8;
const stepMs = 20;
/** Long jobs end sooner on faster engines, and so does a small run. */
const smallStepMs = 10;
export const serviceFlags = {slots: 2, serviceMs: 100};

/**
 * The engine of the probe model is fast, so that its steps add little spread
 * to the router's own time.
 */
export const probeEngineFlags = {slots: 64, stepMs: 1, prefillMs: 1};
export const probeModel = 'bench-probe';
const probeEngineId = 'engine-probe';

/**
 * Callers' deadlines in milliseconds. A long answer at full batch takes about
 * 5 s; the samples' deadlines of up to 60 s would make a run last minutes.
 */
const highestTierDeadlineMs = 8_000;
const otherDeadlineMs = 10_000;

const smallSizes = {vms: 3, engines: 4, services: 1};

/** Returns a deployment's shape, or its small form. */
export function getBenchShape(
  region: Region,
  isSmall: boolean,
): DeploymentShape {
  const shape = deploymentShapes[region];
  return isSmall ? {...shape, ...smallSizes} : shape;
}

/** Chooses the options of the engines. */
export function chooseEngineFlags(
  {engines}: DeploymentShape,
  isSmall: boolean,
): EngineFlags {
  return {
    slots: Math.min(maxEngineSlots, Math.floor(maxSlotSum / engines)),
    stepMs: isSmall ? smallStepMs : stepMs,
    prefillMs: 15,
    loadLagMs: 1_000,
  };
}

/** Fits the sample configuration to the bench's stand-ins. */
export function applyBenchSizes(
  configuration: Configuration,
  engineFlags: EngineFlags,
  probeEngineAddress: string,
): void {
  for (const server of Object.values(configuration.backendServers)) {
    switch (server.kind) {
      case BackendServerKind.ModelEngine:
        server.slots = engineFlags.slots;
        break;
      case BackendServerKind.PlainService:
        server.slots = serviceFlags.slots;
        break;
    }
  }
  for (const requestClass of Object.values(configuration.classes)) {
    requestClass.deadlineMs = getDeadlineMs(requestClass);
  }
  configuration.models[probeModel] = {version: '1', adapters: []};
  configuration.backendServers[probeEngineId] = {
    ...Object.values(configuration.backendServers)[0],
    kind: BackendServerKind.ModelEngine,
    address: probeEngineAddress,
    slots: probeEngineFlags.slots,
    models: [probeModel],
    role: EngineRole.Mixed,
    fencing: Fencing.Honoured,
    verifiesSender: false,
  };
}

function getDeadlineMs({kind, tier}: RequestClass): number {
  return kind === ClassKind.Model && tier === 0
    ? highestTierDeadlineMs
    : otherDeadlineMs;
}
