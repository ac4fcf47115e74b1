import {expect} from 'chai';
import {Log} from '../../src/node/log.js';
import {computeCompactKey} from '../../src/router/compactKey.js';
import type {BackendServer} from '../../src/router/deployment.js';
import {DeploymentStore} from '../../src/router/deploymentStore.js';
import {FleetTotals} from '../../src/fleetTotals/fleetTotals.js';
import {ServerPace} from '../../src/serverPace/serverPace.js';
import {SlowStart} from '../../src/serverPace/slowStart.js';
import {buildServerSpeeds} from '../../src/router/speedTracking.js';
import {FleetView} from '../../src/router/fleetView.js';
import {PrefixCacheDirectory} from '../../src/router/promptDirectory.js';
import {ServerDirectory} from '../../src/router/serverDirectory.js';
import {ServerLimits} from '../../src/router/serverLimits.js';
import {ServerLoadTracker} from '../../src/router/serverLoads.js';
import {ServerOutcomes} from '../../src/router/serverOutcomes.js';
import {ServerSelector} from '../../src/router/serverSelector.js';
import {sampleDeployment, sampleServer} from './routerFixture.js';

const service = 'shop';
const limits = {slots: 4, kvCacheTokens: 1e6, kvBytesPerToken: 18_432};
const engine = {...limits, kvLinkMbps: 280_000};
const deployment = {
  ...sampleDeployment,
  services: [{...sampleDeployment.services[0], engine}],
};
const tokens = 9_000;
const parts = [{id: 'shared', tokens}];
const request = {
  service,
  failed: new Set<string>(),
  excluded: new Set<string>(),
  promptParts: parts,
  promptTokens: tokens,
  bodyBytes: 1_000,
  maxPauseMs: 1_000,
  rank: 5,
  targetMs: 500,
  waitedMs: 0,
  failureCostMs: 250,
};

describe('selection of engines beside an evacuated zone', () => {
  const near: BackendServer = {...sampleServer, id: 'engine-a', zone: 'a'};
  const holder: BackendServer = {
    ...sampleServer,
    id: 'engine-b',
    zone: 'b',
    host: '10.0.0.2',
  };
  let evacuated: Set<string>;
  let outcomes: ServerOutcomes;
  let selector: ServerSelector;

  beforeEach(() => {
    const log = new Log({vm: 'vm-1'});
    evacuated = new Set();
    outcomes = new ServerOutcomes();
    const directory = new ServerDirectory();
    directory.apply({servers: [near, holder], epoch: 1, revision: 1}, 0);
    const loads = new ServerLoadTracker();
    const prompts = new PrefixCacheDirectory();
    const key = computeCompactKey(holder.id);
    prompts.record(computeCompactKey(parts[0].id), key, 0);
    const deployments = new DeploymentStore(log);
    selector = new ServerSelector({
      zone: 'a',
      directory,
      loads,
      outcomes,
      limits: new ServerLimits({
        announce: () => undefined,
        getPosition: () => undefined,
      }),
      speeds: buildServerSpeeds({
        isEnabled: false,
        directory,
        totals: new FleetTotals({usesRelays: () => false}),
        log,
      }),
      pace: new ServerPace({
        getColdStart: () => undefined,
        measureViewAgeMs: () => 0,
        announce: () => undefined,
        repeat: () => undefined,
        viewSenders: () => {
          throw new Error('no server is cold');
        },
      }),
      slowStart: new SlowStart({isEnabled: false, countRouters: () => 1}),
      evacuations: {isEvacuated: zone => evacuated.has(zone)},
      fleet: new FleetView('10.0.0.9'),
      prompts,
      deployments,
    });
    deployments.adopt({deployment, document: ''}, 'platform');
    // The holder of the prefix is so busy that a copy from it is better.
    loads.add(holder.id, {prefillWork: 200_000, rank: 0, pauseWeight: 0});
  });

  // Guards against copies of KV cache from engines that may be shut down.
  it('should not copy KV cache from there', () => {
    const before = selector.select(request);
    expect(before?.server.id).to.equal('engine-a');
    expect(before?.fetchFrom).to.equal(`${holder.host}:${holder.port}`);
    evacuated.add('b');
    const after = selector.select(request);
    expect(after?.server.id).to.equal('engine-a');
    expect(after?.fetchFrom).to.equal(undefined);
    // What is known of the engine is kept for the time after its return.
    evacuated.clear();
    expect(selector.select(request)?.fetchFrom).not.to.equal(undefined);
  });

  // Guards against an evacuated server that accepts requests and thereby hides
  // that all others asked for time.
  it('should not count servers there as accepting requests', () => {
    outcomes.recordBackoff(near.id, 700);
    expect(selector.getBackoffMs(service)).to.equal(0);
    evacuated.add('b');
    expect(selector.getBackoffMs(service)).to.be.within(1, 700);
    evacuated.add('a');
    expect(selector.select(request)).to.equal(undefined);
    expect(selector.getBackoffMs(service)).to.be.above(0);
  });
});
