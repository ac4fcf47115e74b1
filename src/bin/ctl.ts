#!/usr/bin/env node
/** The `anvilstall-ctl` binary: the operators' tool. */
import fs from 'node:fs';
import sade from 'sade';
import {CtlCommands, type CommandResult} from '../ctl/ctlCommands.js';
import {readCtlSettings} from '../ctl/ctlSettings.js';
import {explainRequest} from '../ctl/explainRequest.js';
import {readLogLines} from '../ctl/logLines.js';
import {OperatorClient} from '../ctl/operatorClient.js';
import {computeStatistics} from '../ctl/requestStatistics.js';
import {MemberRole} from '../protocol/memberMessages.js';
import {ExitCode} from './exitCode.js';
import {version} from './version.js';

/** File descriptor. */
const standardInput = 0;

interface Options {
  settings: string;
}

/** Runs one command and prints its result as JSON. */
async function runCommand(
  options: Options,
  command: (commands: CtlCommands) => CommandResult,
): Promise<void> {
  const settings = readCtlSettings(options.settings);
  if (settings.isErr()) {
    console.error(settings.error.message);
    process.exitCode = ExitCode.Config;
    return;
  }
  const result = await command(
    new CtlCommands(new OperatorClient(settings.value)),
  );
  if (result.isErr()) {
    console.error(`${result.error.name}: ${result.error.message}`);
    process.exitCode = ExitCode.Failure;
    return;
  }
  console.log(JSON.stringify(result.value, null, 2));
}

/** Parses the role argument; exits with a usage error if it is unknown. */
function parseRole(role: string): MemberRole {
  const known = Object.values(MemberRole).find(value => value === role);
  if (known) return known;
  console.error(`role must be one of: ${Object.values(MemberRole).join(', ')}`);
  process.exit(ExitCode.Usage);
}

/** Reads lines from the files, or from standard input if none is given. */
function readLines(files: readonly string[]): string[] {
  const sources: ReadonlyArray<string | number> =
    files.length > 0 ? files : [standardInput];
  return sources.flatMap(file => fs.readFileSync(file, 'utf8').split('\n'));
}

/** Writes the HTML report. */
async function report(
  page: string,
  files: readonly string[],
  target: unknown,
): Promise<void> {
  const targetMs = Number(target);
  if (!(targetMs > 0)) {
    console.error('--target must be a number of milliseconds above 0');
    process.exitCode = ExitCode.Usage;
    return;
  }
  const statistics = computeStatistics(
    readLogLines(readLines(files)),
    targetMs,
  );
  // Loaded on demand: the plotting library is slow to load, and only this
  // command needs it.
  const {drawReport} = await import('../ctl/reportPage.js');
  fs.writeFileSync(page, await drawReport(statistics, targetMs));
}

/** Prints the timeline of a request; exits with 1 if no line is found. */
function explain(requestId: string, files: readonly string[]): void {
  const timeline = explainRequest(requestId, readLines(files));
  console.log(JSON.stringify(timeline, null, 2));
  if (timeline.lines.length === 0) process.exitCode = ExitCode.Failure;
}

sade('anvilstall-ctl')
  .version(version)
  .option('--settings', 'JSON settings file', '/etc/anvilstall/ctl.json')
  .command('fleet', 'List every daemon with its configuration number')
  .example('fleet --settings ctl.json')
  .action((options: Options) => runCommand(options, c => c.listFleet()))
  .command('explain <requestId>', 'Show from logs what happened to a request')
  .describe('Reads the log files given after the id, or standard input.')
  .example('explain 9c41d07be2a35f68 vm-1.log vm-2.log')
  .action((requestId: string, {_: files}: {_: string[]}) =>
    explain(requestId, files),
  )
  .command('report <page>', 'Write an HTML report on the requests in logs')
  .describe('Reads the log files given after the page, or standard input.')
  .option('--target', 'Latency target in milliseconds', 500)
  .example('report report.html vm-1.log vm-2.log --target 300')
  .action((page: string, {_: files, target}: {_: string[]; target: unknown}) =>
    report(page, files, target),
  )
  .command('config', "Show the platform's latest configuration and its number")
  .action((options: Options) => runCommand(options, c => c.readConfiguration()))
  .command('patch-make <wanted>', 'Build the patch to a desired configuration')
  .example('patch-make wanted.json > patch.json')
  .action((wanted: string, options: Options) =>
    runCommand(options, c => c.makePatch(wanted)),
  )
  .command(
    'patch-check <patch>',
    'Check a patch against the current configuration',
  )
  .example('patch-check patch.json')
  .action((patch: string, options: Options) =>
    runCommand(options, c => c.checkPatchFile(patch)),
  )
  .command('dump <vm> <role>', "Print a daemon's state")
  .example('dump vm-3 gateway')
  .action((vm: string, role: string, options: Options) =>
    runCommand(options, c => c.dump(vm, parseRole(role))),
  )
  .command('drain <vm> <role>', 'Shut a daemon down gracefully')
  .example('drain vm-3 dispatcher')
  .action((vm: string, role: string, options: Options) =>
    runCommand(options, c => c.drain(vm, parseRole(role))),
  )
  .command('log-level <vm> <role> <level>', "Set a daemon's log level")
  .example('log-level vm-3 gateway debug')
  .action((vm: string, role: string, level: string, options: Options) =>
    runCommand(options, c => c.setLogLevel(vm, parseRole(role), level)),
  )
  .parse(process.argv);
