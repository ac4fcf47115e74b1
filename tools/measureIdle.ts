/**
 * Measures the idle costs of membership and configuration: bytes between
 * members, calls to the platform and CPU time per member. All members run in
 * this process, with real sockets on loopback addresses.
 *
 * Usage: node dist/tools/measureIdle.js [members ...]
 */
import loglevel from 'loglevel';
import type {DaemonNode} from '../src/node/daemonNode.js';
import {MemberRole} from '../src/protocol/memberMessages.js';
import {
  chooseFreePorts,
  createSettings,
  startDaemon,
} from '../tests/support/daemons.js';
import {PlatformServer} from '../tests/support/platformServer.js';

/** Time until the broadcasts after the simultaneous start have ended. */
const settleMs = 25_000;
const settlePollIntervalMs = 500;
const measuredMs = 30_000;
const zones = ['za', 'zb', 'zc'];

interface Sample {
  sent: number;
  received: number;
  calls: number;
  connections: number;
}

function readSample(nodes: readonly DaemonNode[]): Sample {
  const sum: Sample = {sent: 0, received: 0, calls: 0, connections: 0};
  for (const node of nodes) {
    const {opened, accepted} = node.describeTraffic();
    sum.sent += opened.bytesSent + (accepted?.bytesSent ?? 0);
    sum.received += opened.bytesReceived + (accepted?.bytesReceived ?? 0);
    sum.connections += opened.connectionsOpened;
    const {heads, watches, changes, documents} = node.platform.describeCalls();
    sum.calls += heads + watches + changes + documents;
  }
  return sum;
}

async function measureFleet(count: number): Promise<void> {
  const platform = await PlatformServer.start('127.0.0.1');
  const ports = await chooseFreePorts('127.0.0.1', 5);
  const nodes = await Promise.all(
    Array.from({length: count}, (_, index) =>
      startDaemon(
        createSettings(
          `127.0.1.${(index >> 1) + 1}`,
          zones[(index >> 1) % zones.length],
          ports,
          platform.url,
        ),
        index % 2 === 0 ? MemberRole.Gateway : MemberRole.Dispatcher,
        platform,
      ),
    ),
  );
  await new Promise(resolve => setTimeout(resolve, settleMs));
  while (nodes.some(node => node.broadcaster.countQueued() > 0)) {
    await new Promise(resolve => setTimeout(resolve, settlePollIntervalMs));
  }
  const before = readSample(nodes);
  const cpuBefore = process.cpuUsage();
  await new Promise(resolve => setTimeout(resolve, measuredMs));
  const after = readSample(nodes);
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = measuredMs / 1_000;
  const perMember = (key: keyof Sample) =>
    (after[key] - before[key]) / count / seconds;
  const cpuShare = (cpu.user + cpu.system) / 1e6 / seconds / count;
  const known = nodes.map(node => node.membership.listPresent().length);
  console.log(
    JSON.stringify({
      members: count,
      knownByEach: [Math.min(...known), Math.max(...known)],
      bytesSentPerSecond: Math.round(perMember('sent')),
      bytesReceivedPerSecond: Math.round(perMember('received')),
      connectionsOpenedPerSecond: +perMember('connections').toFixed(2),
      configCallsPerSecond: +perMember('calls').toFixed(2),
      // Includes the fake platform, which runs in the same process.
      cpuPercentOfOneCore: +(cpuShare * 100).toFixed(2),
      rssMegabytesOfAll: Math.round(process.memoryUsage().rss / 2 ** 20),
    }),
  );
  await Promise.all(nodes.map(node => node.kill()));
  await platform.stop();
}

loglevel.disableAll();
const counts = process.argv.slice(2).map(Number);
for (const count of counts.length > 0 ? counts : [3, 6, 12]) {
  await measureFleet(count);
}
