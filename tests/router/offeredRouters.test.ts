import {expect} from 'chai';
import {FleetView} from '../../src/router/fleetView.js';
import {
  computeRestartDelayMs,
  findPosition,
  isAmongChosen,
  listRestarting,
} from '../../src/router/offeredRouters.js';
import {RouterStatus} from '../../src/router/peerReport.js';

const offered = Array.from({length: 8}, (_, i) => `10.0.0.${i}`);
const resting = Array.from({length: 90}, (_, i) => `10.0.1.${i}`);

function findView(host: string) {
  return {
    host,
    isOffered: offered.includes(host),
    others: offered.filter(other => other !== host),
  };
}

describe('routers that callers are sent to', () => {
  // Guards against resting routers that each take themselves for the one that
  // probes a blocked prompt part.
  it('should choose one of them for each key, and never a resting router', () => {
    for (let key = 0; key < 50; key++) {
      const hosts = [...offered, ...resting];
      const chosen = hosts.filter(host =>
        isAmongChosen(`${key}`, 1, findView(host)),
      );
      expect(chosen).to.have.length(1);
      expect(offered).to.include(chosen[0]);
    }
  });

  it('should have positions that differ, and resting routers none', () => {
    const positions = offered.map(host => findPosition(findView(host)));
    expect(positions.map(position => position?.index)).to.deep.equal(
      offered.map((_, index) => index),
    );
    for (const position of positions) expect(position?.count).to.equal(8);
    expect(findPosition(findView(resting[0]))).to.equal(undefined);
  });

  // Guards against an error that stops all routers that callers are sent to at
  // once, because the same answer or message reaches all of them.
  it('should restart one after the other', () => {
    const delays = offered.map(host =>
      computeRestartDelayMs(findView(host), 10_000),
    );
    expect(delays).to.deep.equal(offered.map((_, index) => index * 10_000));
    expect(computeRestartDelayMs(findView(resting[0]), 10_000)).to.equal(0);
  });

  // Guards against an error that reaches the routers some report intervals apart:
  // each saw the one before leave, took itself for the first and left as well.
  it('should restart one after the other when they fail one after the other', () => {
    const restartMs = 10_000;
    const betweenMs = 200;
    const leavesAtMs = new Map<string, number>();
    for (const [index, host] of offered.entries()) {
      const nowMs = index * betweenMs;
      const fleet = new FleetView(host);
      const isLeaving = (other: string) =>
        (leavesAtMs.get(other) ?? Infinity) <= nowMs;
      fleet.recordRoster(
        offered.map(other => ({
          host: other,
          status: isLeaving(other) ? RouterStatus.Leaving : RouterStatus.Ready,
          vm: `vm-${other}`,
          zone: 'a',
          callers: `${other}:80`,
          peers: `${other}:81`,
          linkMbps: 490,
          processorShare: 1,
        })),
      );
      const view = {host, isOffered: true, others: listRestarting(fleet)};
      leavesAtMs.set(host, nowMs + computeRestartDelayMs(view, restartMs));
    }
    const times = [...leavesAtMs.values()].sort((a, b) => a - b);
    for (const [index, atMs] of times.slice(1).entries()) {
      expect(atMs - times[index]).to.be.at.least(restartMs);
    }
  });

  it('should have restarted within eight turns in a large fleet', () => {
    const delays = resting.map(host => {
      const others = resting.filter(other => other !== host);
      return computeRestartDelayMs({host, isOffered: true, others}, 10_000);
    });
    const turns = new Set(delays);
    for (const turn of turns) {
      const count = delays.filter(delayMs => delayMs === turn).length;
      expect(count).to.be.at.most(resting.length / 8);
    }
    expect(Math.max(...delays)).to.be.at.most(80_000);
  });
});
