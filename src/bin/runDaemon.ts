/** Command line and signal handling that the daemons share. */
import type {Result} from 'neverthrow';
import sade from 'sade';
import type {ValidationError} from '../protocol/errors.js';
import {LogLevel, setLogLevel} from '../node/log.js';
import {ExitCode} from './exitCode.js';
import {handleUnexpectedErrors} from './unexpectedErrors.js';

/** A running daemon. */
interface Daemon<S> {
  stop(): Promise<void>;
  /** Applies the settings that may change while the daemon runs. */
  reload?(settings: S): void;
  /** Stops without waiting for requests in flight. */
  stopNow?(): Promise<void>;
  /**
   * Waits until others can take this daemon's callers, before it stops because of
   * an error. Without it, the daemon stops at once.
   */
  waitForRestart?(): Promise<void>;
}

/** Settings that all daemons have. */
interface DaemonSettings {
  readonly logLevel: string;
}

export interface DaemonOptions<S extends DaemonSettings> {
  readonly name: string;
  readonly version: string;
  readonly readSettings: (file: string) => Result<S, ValidationError>;
  readonly start: (settings: S) => Promise<Daemon<S>>;
  /**
   * True where the platform may send SIGTERM again while the daemon stops, and
   * doesn't mean that it should hurry.
   */
  readonly ignoresRepeatedSigterm?: boolean;
}

/**
 * Reads the settings, starts a daemon and stops it gracefully on SIGTERM or
 * SIGINT. A second signal stops it at once; see `ignoresRepeatedSigterm` for the
 * exception. SIGHUP reloads the settings. An error that nothing has caught
 * stops it gracefully too, once `waitForRestart` allows it, with exit code
 * `ExitCode.Software`.
 *
 * @example
 * runDaemon({
 *   name: 'anvilstall-gateway',
 *   version,
 *   readSettings,
 *   start: settings => GatewayDaemon.start(settings),
 * });
 */
export function runDaemon<S extends DaemonSettings>({
  name,
  version,
  readSettings,
  start,
  ignoresRepeatedSigterm = false,
}: DaemonOptions<S>): void {
  const reloadSignals = new ReloadSignalHandler();
  sade(name, true)
    .version(version)
    .option('--settings', 'JSON settings file', '/etc/anvilstall/settings.json')
    .option('--check', 'Check the settings and exit')
    .example('--settings settings.json')
    .example('--settings settings.json --check')
    .action(async (options: {settings: string; check?: boolean}) => {
      const settings = readSettings(options.settings);
      if (settings.isErr()) {
        console.error(settings.error.message);
        process.exitCode = ExitCode.Config;
        return;
      }
      if (options.check) return;
      applyLogLevel(settings.value);
      await runUntilSignal(
        () => start(settings.value),
        daemon =>
          reloadSignals.setHandler(() =>
            reload(daemon, () => readSettings(options.settings)),
          ),
        ignoresRepeatedSigterm,
      );
    })
    .parse(process.argv);
}

/**
 * Handles SIGHUP from the start of the process, as the default action would
 * terminate it. A signal that arrives before the daemon can reload is kept
 * until it can.
 */
class ReloadSignalHandler {
  private isPending = false;
  private handle: (() => void) | undefined;

  constructor() {
    process.on('SIGHUP', () => {
      if (this.handle) this.handle();
      else this.isPending = true;
    });
  }

  /**
   * Sets the reload handler. Calls it at once if a signal is pending: the
   * settings may have changed since the daemon read them at its start.
   */
  setHandler(handle: () => void): void {
    this.handle = handle;
    if (this.isPending) handle();
  }
}

function applyLogLevel({logLevel}: DaemonSettings): void {
  const levels = Object.values(LogLevel);
  setLogLevel(levels.find(level => level === logLevel) ?? LogLevel.Info);
}

/** Reloads the settings; invalid ones are reported and not applied. */
function reload<S extends DaemonSettings>(
  daemon: Daemon<S>,
  readSettings: () => Result<S, ValidationError>,
): void {
  readSettings().match(
    settings => {
      applyLogLevel(settings);
      daemon.reload?.(settings);
    },
    error => console.error(error.message),
  );
}

async function runUntilSignal<S>(
  start: () => Promise<Daemon<S>>,
  handleStarted: (daemon: Daemon<S>) => void,
  ignoresRepeatedSigterm: boolean,
): Promise<void> {
  try {
    const running = await start();
    handleStarted(running);
    let isStopping = false;
    const exit = (stopped: Promise<void>, exitCode: ExitCode) => {
      isStopping = true;
      void stopped.finally(() => process.exit(exitCode));
    };
    const handleSignal = (signal: NodeJS.Signals) => {
      if (isStopping && signal === 'SIGTERM' && ignoresRepeatedSigterm) return;
      const stopped = isStopping
        ? (running.stopNow?.() ?? Promise.resolve())
        : running.stop();
      exit(stopped, ExitCode.Ok);
    };
    let isRestarting = false;
    const restart = async () => {
      isRestarting = true;
      await running.waitForRestart?.();
      if (!isStopping) exit(running.stop(), ExitCode.Software);
    };
    handleUnexpectedErrors(() => {
      if (!isStopping && !isRestarting) void restart();
    });
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
  } catch (error) {
    console.error(String(error));
    process.exit(ExitCode.Software);
  }
}
