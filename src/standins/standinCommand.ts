/** Command line of the stand-ins' binaries. */
import fs from 'node:fs';
import sade from 'sade';
import {z} from 'zod';

export interface RunningStandin {
  readonly url: string;
  stop(): Promise<void>;
}

export interface StandinCommand {
  name: string;
  description: string;
  /** Descriptions by name of the options, which are fields of the schema. */
  options: Record<string, string>;
  start(options: object): Promise<RunningStandin>;
}

/** Fields of the parsed command line that are not options of a stand-in. */
const commonFlags = new Set(['_', 'config', 'c']);

/**
 * Runs a stand-in until SIGTERM or SIGINT. Flags override fields of the file
 * that `--config` names. Prints a JSON line with the URL once the stand-in
 * listens.
 */
export function runStandinCommand(
  command: StandinCommand,
  argv: string[],
): void {
  const program = sade(command.name, true)
    .describe(command.description)
    .option('-c, --config', 'JSON file with options');
  for (const [name, description] of Object.entries(command.options)) {
    program.option(`--${name}`, description);
  }
  program.action((flags: Record<string, unknown>) => run(command, flags));
  program.parse(argv);
}

async function run(
  command: StandinCommand,
  flags: Record<string, unknown>,
): Promise<void> {
  try {
    const standin = await command.start(readOptions(flags));
    writeLine({event: 'listening', standin: command.name, url: standin.url});
    const stop = () => void standin.stop().then(() => process.exit(0));
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  } catch (error) {
    const reason =
      error instanceof z.ZodError ? z.prettifyError(error) : String(error);
    process.stderr.write(`${command.name}: ${reason}\n`);
    process.exitCode = 1;
  }
}

/** Merges the configuration file and the flags. */
function readOptions(flags: Record<string, unknown>): object {
  // sade sets options that are not given to undefined.
  const given = Object.entries(flags).filter(
    ([name, value]) => !commonFlags.has(name) && value !== undefined,
  );
  const {config} = flags;
  const file: unknown =
    typeof config === 'string'
      ? JSON.parse(fs.readFileSync(config, 'utf8'))
      : {};
  return {...(file as object), ...Object.fromEntries(given)};
}

function writeLine(fields: Record<string, string>): void {
  process.stdout.write(`${JSON.stringify(fields)}\n`);
}
