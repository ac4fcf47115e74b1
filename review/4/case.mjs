/**
 * A request crashes each runner that runs it, and comes again and again. All
 * routers are killed at the same moment, after it has crashed three runners.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';
import {bounds} from '../lib/fleet.mjs';
import {runCase} from '../lib/runCase.mjs';

/** Rule BUDGET: counts from `contactMs` after this crash. */
const decisiveCrash = 3;
/** Rule BUDGET: more retries than this break it. */
const maxRetries = 3;
const path = '/order/deadly';
const retryIntervalMs = 4_000;
const retriesBefore = 3;
const retriesAfter = 9;
/** The runner is back after some seconds. */
const backAfterMs = 2_000;
const restartAfterMs = 500;
const load = {intervalMs: 50, routeNames: ['order', 'status']};
/** With KILL=0, the request crashes runners, and no router is killed. */
const isKilling = process.env.KILL !== '0';

await runCase(fileURLToPath(new URL('.', import.meta.url)), async context => {
  const {fleet, runners, consumers, recorder, isTrouble} = context;
  const trouble = isTrouble ? 'deadly' : 'none';
  await runners.start({engines: 0, plain: 6, trouble, backAfterMs});
  await fleet.start(3);
  let retries = 0;
  const sendAgain = async () => {
    const router = fleet.routers[retries % fleet.routers.length];
    retries += 1;
    recorder.note(`the same request is sent to ${router.name}`);
    consumers.sendOne(router, 'order', {path});
    await consumers.send({...load, durationMs: retryIntervalMs});
  };
  for (let i = 0; i < retriesBefore; i++) await sendAgain();
  if (isTrouble && isKilling) await fleet.killRouters(restartAfterMs);
  // All routers are in touch again before the request comes once more.
  await consumers.send({...load, durationMs: bounds.contactMs + 1_000});
  for (let i = 0; i < retriesAfter; i++) await sendAgain();
  runners.isStopping = true;
  await consumers.waitForAll();
  await delay(200);
  recorder.note(`${runners.crashedAtMs.length} crashes`);
  const crashedAtMs = runners.crashedAtMs[decisiveCrash - 1];
  if (crashedAtMs === undefined) return [];
  const startedAtMs = fleet.routers.map(router => router.startedAtMs);
  const inTouchAtMs = Math.max(...startedAtMs) + bounds.contactMs;
  const sinceMs = Math.max(crashedAtMs + bounds.contactMs, inTouchAtMs);
  const counted = runners.deadlyRuns.filter(({atMs}) => atMs > sinceMs);
  const attempts = new Set(counted.map(({attemptId}) => attemptId));
  recorder.note(`${attempts.size} retries ran later than the rule allows`);
  if (attempts.size <= maxRetries) return [];
  return [
    `BUDGET: the request reached runners in ${attempts.size} retries, sent by ` +
      `machines in touch later than ${bounds.contactMs} ms after the third ` +
      `crash; ${runners.crashedAtMs.length} runners crashed in all`,
  ];
});
