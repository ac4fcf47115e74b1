/**
 * Soak test of shutdowns on VMs with a fraction of a core.
 * `SLOW_SEEDS=7,8 SLOW_SECONDS=8` runs these seeds; a run takes half a minute,
 * so that CI runs none. `SLOW_LOAD=bursts` stops routers with over a hundred
 * requests in flight.
 */
import fs from 'node:fs';
import {expect} from 'chai';
import {Load} from './shutdownRecord.js';
import {SlowShutdownRun} from './slowShutdown.js';

const seeds = process.env.SLOW_SEEDS?.split(',').map(Number) ?? [];
const durationMs = Number(process.env.SLOW_SECONDS ?? 5) * 1_000;

const load =
  Object.values(Load).find(value => value === process.env.SLOW_LOAD) ??
  Load.Light;

describe('shutdown of routers with a fraction of a core', () => {
  for (const seed of seeds) {
    // Guards against requests that a router has read, and whose connection it
    // closes without an answer while it shuts down.
    it(`should answer every request that it has read, seed ${seed}, load ${load}`, async function () {
      this.timeout(durationMs + 120_000);
      const report = await new SlowShutdownRun(seed, load).run(durationMs);
      const {folder, lost, killed, requests} = report;
      console.log(
        JSON.stringify({
          ...report,
          shutdowns: report.shutdowns.map(
            ({inFlight, endedAfterMs = -1}) =>
              `${inFlight} in flight, ended after ${Math.round(endedAfterMs)} ms`,
          ),
          killed: killed.length,
          lost: lost.length,
        }),
      );
      expect(requests).to.be.greaterThan(0);
      expect(lost, `see ${folder}`).to.deep.equal([]);
      expect(killed, `see ${folder}`).to.deep.equal([]);
      fs.rmSync(folder, {recursive: true});
    });
  }
});
