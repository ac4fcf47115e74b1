import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {DatagramKind, type Datagram} from '../../src/router/datagramCodec.js';
import {FleetView} from '../../src/router/fleetView.js';
import type {OwnReportBuilder} from '../../src/router/ownReportBuilder.js';
import {maxMeshRouters, PeerDiscovery} from '../../src/router/peerDiscovery.js';
import {RouterStatus, WantedAnswer} from '../../src/router/peerReport.js';
import type {FleetMember} from '../../src/router/relayReport.js';

const address = '10.0.9.9';
const seeds = ['10.0.1.0:81', '10.0.1.1:81', `${address}:81`];
const endpoints = {
  vm: 'vm',
  zone: 'a',
  callers: `${address}:80`,
  peers: `${address}:81`,
  linkMbps: 490,
  processorShare: 1,
};

function buildMembers(count: number): FleetMember[] {
  return Array.from({length: count}, (_, i) => ({
    ...endpoints,
    host: `10.0.1.${i}`,
    status: RouterStatus.Ready,
  }));
}

describe('discovery of other routers', () => {
  let clock: Clock;
  let sent: Array<{host: string; datagram: Datagram}>;
  let fleet: FleetView;
  let relay: string | undefined;
  let discovery: PeerDiscovery;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance', 'setTimeout']});
    sent = [];
    relay = undefined;
    fleet = new FleetView(address);
    discovery = new PeerDiscovery({
      address,
      seeds,
      endpoints,
      fleet,
      reports: {
        status: RouterStatus.Ready,
        buildGreeting: (_isForRelay: boolean, identity: unknown) => ({
          identity,
        }),
      } as unknown as OwnReportBuilder,
      send: (host, datagram) => sent.push({host, datagram}),
      getRelay: () => relay,
    });
  });

  afterEach(() => clock.uninstall());

  it('should greet each router of a small fleet once', () => {
    discovery.recordRoster(buildMembers(10));
    discovery.recordRoster(buildMembers(10));
    expect(sent.map(({host}) => host)).to.deep.equal(
      buildMembers(10).map(({host}) => host),
    );
  });

  // Guards against traffic that grows with the square of the fleet: 195 routers
  // started together, greeted each other with a list of 195 addresses each, and
  // sent a hundred megabytes between zones.
  it('should take the list of a large fleet without greeting it', () => {
    discovery.recordRoster(buildMembers(maxMeshRouters + 1));
    expect(sent).to.be.empty;
    expect(fleet.listReady()).to.have.length(maxMeshRouters + 1);
  });

  it('should answer a question for the list with all that it knows', () => {
    fleet.recordRoster(buildMembers(3));
    discovery.answer('10.0.2.2', WantedAnswer.Roster);
    const rosters = sent.flatMap(({datagram}) =>
      datagram.kind === DatagramKind.Roster ? [datagram.members] : [],
    );
    expect(rosters.map(members => members.length)).to.deep.equal([4]);
    sent.length = 0;
    discovery.answer('10.0.2.2', WantedAnswer.Report);
    expect(sent).to.have.length(1);
  });

  it('should query seeds often until one answers, then rarely, and never while it has a relay', async () => {
    const end = new AbortController();
    const run = discovery.run(end.signal);
    await clock.tickAsync(1_100);
    expect(sent).to.have.length(6);
    const recordAll = () => {
      fleet.recordRoster(buildMembers(30));
      for (const peer of fleet.listKnown()) peer.heardAtMs = performance.now();
    };
    sent.length = 0;
    for (let i = 0; i < 60; i++) {
      recordAll();
      await clock.tickAsync(500);
    }
    expect(sent.length).to.be.within(4, 10);
    relay = '10.0.1.7';
    sent.length = 0;
    for (let i = 0; i < 60; i++) {
      recordAll();
      await clock.tickAsync(500);
    }
    expect(sent).to.be.empty;
    end.abort();
    await clock.tickAsync(1);
    await run;
  });
});
