/** Frame of a case: its record, its exit code and the end of what it started. */
import console from 'node:console';
import fs from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {stopAll} from './fleet.mjs';

/** A script may run for two minutes. */
const maxRunMs = 115_000;

/** False if the case runs without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

const startedAt = performance.now();
const lines = [];

/** Adds a line to the record. */
export function record(event, fields = {}) {
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
  lines.push(`${seconds} ${event} ${JSON.stringify(fields)}`);
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if
 * the case couldn't run.
 *
 * @param url - `import.meta.url` of the script; the record is written beside it
 * @param run - resolves to `{isBroken, summary}`
 */
export async function runCase(url, run) {
  const finish = (code, text) => {
    record(text);
    console.log(text);
    const file = new URL('record.txt', url);
    fs.writeFileSync(file, `${lines.join('\n')}\n`);
    stopAll();
    process.exit(code);
  };
  process.on('SIGTERM', () => finish(2, 'stopped'));
  setTimeout(() => finish(2, 'the case took too long'), maxRunMs).unref();
  try {
    const {isBroken, summary} = await run();
    const text = isBroken ? 'rule broken' : 'rule held';
    finish(Number(isBroken), `${text} ${JSON.stringify(summary)}`);
  } catch (error) {
    finish(2, `the case couldn't run: ${error.stack ?? error}`);
  }
}
