/** A child process of a development tool, with its output kept for reports. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';

/** Output kept for error reports, in characters. */
const keptOutputLength = 200_000;

/** Starts one of the built binaries and ends it by its process id. */
export class ManagedProcess {
  private output = '';
  private readonly exited: Promise<unknown>;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
  ) {
    this.exited = once(child, 'exit');
    for (const stream of [child.stdout, child.stderr]) {
      stream?.setEncoding('utf8');
      stream?.on('data', (text: string) => {
        this.output = (this.output + text).slice(-keptOutputLength);
      });
    }
  }

  /** Starts `dist/src/bin/<binary>.js`. */
  static start(binary: string, args: string[]): ManagedProcess {
    const file = new URL(`../src/bin/${binary}.js`, import.meta.url);
    return ManagedProcess.startScript(binary, file, args);
  }

  /** Starts a built script of a development tool. */
  static startScript(name: string, file: URL, args: string[]): ManagedProcess {
    const child = spawn(process.execPath, [file.pathname, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return new ManagedProcess(`${name} ${args.join(' ')}`, child);
  }

  /** Process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** False once the process has ended. */
  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** What the process has printed. */
  getOutput(): string {
    return this.output;
  }

  /** Sends a signal, e.g. SIGSTOP. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(signal);
  }

  /** Waits until the process has ended; returns its exit code. */
  async waitForExit(): Promise<number | null> {
    if (this.isRunning()) await this.exited;
    return this.child.exitCode;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.waitForExit();
  }
}
