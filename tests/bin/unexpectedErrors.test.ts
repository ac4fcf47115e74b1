import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface, type Interface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {ExitCode} from '../../src/bin/exitCode.js';
import {FailingPath} from './failingDaemon.js';

const entry = fileURLToPath(new URL('startFailingDaemon.js', import.meta.url));

describe('an error that nothing has caught', () => {
  let daemon: ChildProcess;
  let exited: Promise<unknown[]>;
  let lines: Interface;
  let output: string;
  let url: string;

  /** @param restartDelayMs - see `runFailingDaemon` */
  async function start(restartDelayMs: number): Promise<void> {
    output = '';
    daemon = spawn(process.execPath, [entry, String(restartDelayMs)]);
    exited = once(daemon, 'exit');
    lines = createInterface({input: daemon.stdout!});
    lines.on('line', line => (output += line));
    daemon.stderr!.on('data', data => (output += data));
    const [port] = (await once(lines, 'line')) as [string];
    url = `http://127.0.0.1:${port}`;
  }

  afterEach(async () => {
    daemon.kill('SIGKILL');
    await exited;
  });

  async function call(path: string): Promise<string> {
    return (await fetch(url + path)).text();
  }

  for (const path of Object.values(FailingPath)) {
    // Guards against ending all requests of a process without an answer when the
    // code of one of them fails outside of its handler.
    it(`should end no request: ${path}`, async () => {
      await start(0);
      const answer = call('/');
      await once(lines, 'line');
      const answers = await Promise.all([answer, call(path)]);
      expect(answers).to.deep.equal(['done', 'done']);
      const [code] = await exited;
      expect(code).to.equal(ExitCode.Software);
    });
  }

  // Guards against an end whose cause no log names.
  it('should be logged with its stack', async () => {
    await start(0);
    await call(FailingPath.Throw);
    await exited;
    expect(output).to.include('unexpected error');
    expect(output).to.include('thrown in a callback');
    expect(output).to.include('failingDaemon');
  });

  // Guards against the end of all daemons of a fleet at the same moment, when the
  // same message causes an error at each of them.
  it('should leave the daemon running until it may restart', async () => {
    await start(1_500);
    await call(FailingPath.Throw);
    expect(await call('/')).to.equal('done');
    expect(await call('/')).to.equal('done');
    const [code] = await exited;
    expect(code).to.equal(ExitCode.Software);
  });

  // Guards against a planned stop that is ignored while a restart is due.
  it('should not keep the daemon from stopping at a signal', async () => {
    await start(60_000);
    await call(FailingPath.Throw);
    daemon.kill('SIGTERM');
    const [code] = await exited;
    expect(code).to.equal(ExitCode.Ok);
  });
});
