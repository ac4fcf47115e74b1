/**
 * A part of long prompts crashes each engine that begins to answer on it. The
 * fleet must keep such requests away from engines after the fifth crash.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';
import {bounds} from '../lib/fleet.mjs';
import {runCase} from '../lib/runCase.mjs';

/** Rule BUDGET: counts from `contactMs` after this crash. */
const decisiveCrash = 5;
/** Rule BUDGET: more requests than this break it. */
const maxRequests = 3;
/** Length of the form on the page. */
const durationMs = 22_000;
const soundIntervalMs = 50;
/** One request in this many is deadly: the share of 0.05 on the page. */
const deadlyEvery = 20;
/** The runner is back after some seconds. */
const backAfterMs = 3_000;
/** Parts of a prompt before its last one: the turns of a long session. */
const turns = 40;

/** Shared parts of the session, with its last turn replaced in some requests. */
function buildPrompt(number, isDeadly) {
  const parts = Array.from(
    {length: turns},
    (_, index) => `${(0xb000 + index).toString(16)}:20`,
  );
  if (isDeadly) parts[turns - 1] = 'dead:20';
  return [...parts, `${(0x10_000 + number).toString(16)}:20`].join();
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async context => {
  const {fleet, runners, consumers, recorder, isTrouble} = context;
  const trouble = isTrouble ? 'deadly' : 'none';
  await runners.start({engines: 6, plain: 0, trouble, backAfterMs});
  await fleet.start(3);
  const endsAtMs = performance.now() + durationMs;
  for (let number = 1; performance.now() < endsAtMs; number++) {
    const router = fleet.routers[number % fleet.routers.length];
    const isDeadly = number % deadlyEvery === 0;
    const promptPrefix = buildPrompt(number, isDeadly);
    consumers.sendOne(router, 'query', {promptPrefix});
    await delay(soundIntervalMs);
  }
  runners.isStopping = true;
  await consumers.waitForAll();
  recorder.note(`${runners.crashedAtMs.length} crashes`);
  const crashedAtMs = runners.crashedAtMs[decisiveCrash - 1];
  if (crashedAtMs === undefined) return [];
  const counted = runners.deadlyRuns.filter(
    ({atMs}) => atMs > crashedAtMs + bounds.contactMs,
  );
  const attempts = new Set(counted.map(({attemptId}) => attemptId));
  recorder.note(`${attempts.size} deadly requests ran after the bound`);
  if (attempts.size <= maxRequests) return [];
  return [
    `BUDGET: ${attempts.size} requests with a part that crashes runners reached ` +
      `runners later than ${bounds.contactMs} ms after the fifth crash; ` +
      `${runners.crashedAtMs.length} runners crashed in all`,
  ];
});
