/** Child processes of development tools, with captured output. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';

/** Length of the captured output, in characters; older output is dropped. */
const maxOutputLength = 200_000;

/** A child process that captures the end of its output for error reports. */
export class ManagedProcess {
  private output = '';
  private readonly exitEvent: Promise<unknown>;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
  ) {
    this.exitEvent = once(child, 'exit');
    for (const stream of [child.stdout, child.stderr]) {
      stream?.setEncoding('utf8');
      stream?.on('data', (text: string) => {
        this.output = (this.output + text).slice(-maxOutputLength);
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

  /** Returns false once the process has ended. */
  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Returns the end of what the process wrote to stdout and stderr. */
  getOutput(): string {
    return this.output;
  }

  /** Sends a signal, e.g. SIGSTOP, unless the process has ended. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(signal);
  }

  /** Waits for the end; returns the exit code, or null after a signal. */
  async waitForExit(): Promise<number | null> {
    if (this.isRunning()) await this.exitEvent;
    return this.child.exitCode;
  }

  /** Sends SIGKILL and waits for the end of the process. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.waitForExit();
  }
}
