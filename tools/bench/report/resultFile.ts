/** Result files below `bench-results/`. */
import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';

export const resultFolder = 'bench-results';

/** What a result was measured with. */
export interface ResultHead {
  /** Commit of the working tree; `+changes` when it has more. */
  commit: string;
  startedAt: string;
  seed: number;
  options: object;
  machine: {
    cores: number;
    memoryGib: number;
    node: string;
    loadAverage: number;
  };
}

/** Describes commit and machine. */
export function buildResultHead(seed: number, options: object): ResultHead {
  return {
    commit: readCommit(),
    startedAt: new Date().toISOString(),
    seed,
    options,
    machine: {
      cores: os.cpus().length,
      memoryGib: Math.round(os.totalmem() / 2 ** 30),
      node: process.version,
      // Other programs on the machine disturb the figures.
      loadAverage: os.loadavg()[0],
    },
  };
}

/** Writes a result and returns the file's name. */
export function writeResult(name: string, result: object): string {
  fs.mkdirSync(resultFolder, {recursive: true});
  const time = new Date().toISOString().replace(/[:.]/g, '-');
  const file = path.join(resultFolder, `${name}-${time}.json`);
  fs.writeFileSync(file, `${JSON.stringify(result, null, 1)}\n`);
  return file;
}

function readCommit(): string {
  const git = (...args: string[]) =>
    execFileSync('git', args, {encoding: 'utf8'}).trim();
  try {
    const changes = git('status', '--porcelain') === '' ? '' : '+changes';
    return git('rev-parse', '--short=12', 'HEAD') + changes;
  } catch {
    return 'unknown';
  }
}
