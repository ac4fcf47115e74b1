/** Sample configurations modelled on the users' two deployments. */
import crypto from 'node:crypto';
import {
  BackendServerKind,
  BackendServerState,
  ClassKind,
  Fencing,
  type BackendServer,
  type Configuration,
} from '../src/config/configuration.js';
import {EngineRole} from '../src/protocol/engineApi.js';

export enum Region {
  Kaap = 'kaap',
  Golfo = 'golfo',
}

/** Zones, model, service and numbers of instances of a deployment. */
export interface DeploymentShape {
  region: Region;
  /** Zone names. */
  zones: string[];
  /** One-way network latency between two zones. */
  zoneDistanceMs: number;
  model: string;
  service: string;
  engines: number;
  services: number;
  vms: number;
  customers: number;
}

/** Current sizes of the two deployments. */
export const deploymentShapes: Record<Region, DeploymentShape> = {
  [Region.Kaap]: {
    region: Region.Kaap,
    zones: ['kaap-a', 'kaap-b', 'kaap-c', 'kaap-d'],
    zoneDistanceMs: 1,
    model: 'caption-small',
    service: 'catalogue',
    engines: 13,
    services: 4,
    vms: 12,
    customers: 10,
  },
  [Region.Golfo]: {
    region: Region.Golfo,
    zones: ['golfo-a', 'golfo-b', 'golfo-c'],
    zoneDistanceMs: 0.5,
    model: 'assistant-small',
    service: 'portal',
    engines: 6,
    services: 3,
    vms: 12,
    customers: 10,
  },
};

/** Listening addresses of the stand-ins. */
export interface StandinAddresses {
  /** `ip:port` of each model engine. */
  engines: string[];
  /** `ip:port` of each plain service. */
  services: string[];
}

/** Slots of each model engine and each plain service. */
export const engineSlots = 16;
export const serviceSlots = 32;

/**
 * Returns the secret of a sample customer.
 *
 * @example
 * const header = `Bearer customer-1.${getCustomerSecret('customer-1')}`;
 */
export function getCustomerSecret(customerId: string): string {
  return `sample-secret-of-${customerId}`;
}

/** Builds the configuration document of a deployment. */
export function buildConfiguration(
  shape: DeploymentShape,
  addresses: StandinAddresses,
): Configuration {
  return {
    region: shape.region,
    zones: buildZones(shape),
    classes: buildClasses(shape.region),
    customers: buildCustomers(shape),
    models: {[shape.model]: {version: '1', adapters: []}},
    backendServers: buildBackendServers(shape, addresses),
    weightStoreLoadsPerSecond: 2,
    maxQueueLength: 200,
  };
}

function buildZones({zones, zoneDistanceMs}: DeploymentShape) {
  return Object.fromEntries(
    zones.map(from => [
      from,
      Object.fromEntries(
        zones
          .filter(to => to !== from)
          .map(to => [to, zoneDistanceMs] as const),
      ),
    ]),
  );
}

function buildClasses(region: Region): Configuration['classes'] {
  const question = {
    kind: ClassKind.Model,
    tier: 0,
    minimumShare: 0.1,
    repeatable: true,
    firstTokenMs: 400,
    betweenTokensMs: 75,
    deadlineMs: 30_000,
  };
  const draft = {
    ...question,
    tier: 2,
    minimumShare: 0.05,
    firstTokenMs: 3_000,
    deadlineMs: 60_000,
  };
  const order = {
    kind: ClassKind.Service,
    tier: 0,
    minimumShare: 0.1,
    repeatable: false,
    firstTokenMs: 1_000,
    deadlineMs: 10_000,
  };
  const query = {...order, tier: 1, minimumShare: 0.05, repeatable: true};
  switch (region) {
    case Region.Kaap:
      return {question, caption: draft, reorder: order, status: query};
    case Region.Golfo:
      return {
        troubleshooting: question,
        manual: draft,
        'parts-order': order,
        'warranty-claim': {...order, tier: 1},
        stock: query,
      };
  }
}

function buildCustomers(shape: DeploymentShape): Configuration['customers'] {
  const classes = Object.keys(buildClasses(shape.region));
  const ids = Array.from(
    {length: shape.customers},
    (_, index) => `customer-${index + 1}`,
  );
  return Object.fromEntries(
    ids.map((id, index) => {
      // The first two are the large customers.
      const factor = index < 2 ? 10 : 1;
      return [
        id,
        {
          keySha256: crypto
            .createHash('sha256')
            .update(getCustomerSecret(id))
            .digest('hex'),
          classes,
          requestsPerSecond: 100 * factor,
          tokensPerSecond: 10_000 * factor,
          concurrentRequests: 200 * factor,
        },
      ];
    }),
  );
}

function buildBackendServers(
  shape: DeploymentShape,
  {engines, services}: StandinAddresses,
): Record<string, BackendServer> {
  const pickZone = (index: number) => shape.zones[index % shape.zones.length];
  const servers: Record<string, BackendServer> = {};
  for (const [index, address] of engines.entries()) {
    servers[`engine-${index + 1}`] = {
      kind: BackendServerKind.ModelEngine,
      address,
      zone: pickZone(index),
      slots: engineSlots,
      state: BackendServerState.Active,
      models: [shape.model],
      role: EngineRole.Mixed,
      fencing: Fencing.Honoured,
      verifiesSender: false,
    };
  }
  for (const [index, address] of services.entries()) {
    servers[`${shape.service}-${index + 1}`] = {
      kind: BackendServerKind.PlainService,
      address,
      zone: pickZone(index),
      slots: serviceSlots,
      state: BackendServerState.Active,
      service: shape.service,
    };
  }
  return servers;
}
