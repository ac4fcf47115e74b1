import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {expect} from 'chai';

/** Logs for 1.5 s, then reports line counts and heap size on stderr. */
const script = `
  import {openLogSink} from './dist/src/node/logSink.js';
  import {Log, LogLevel, setLogLevel} from './dist/src/node/log.js';
  const {counts} = openLogSink();
  setLogLevel(LogLevel.Info);
  const log = new Log({vm: 'vm-1'});
  const text = 'x'.repeat(4000);
  let turns = 0;
  const timer = setInterval(() => {
    turns += 1;
    for (let i = 0; i < 20; i++) log.logInfo('line', {text});
  }, 5);
  setTimeout(() => {
    clearInterval(timer);
    const heapMb = process.memoryUsage().heapUsed / 2 ** 20;
    process.stderr.write(JSON.stringify({...counts, turns, heapMb}));
    process.exit(0);
  }, 1500);
`;

/** Logs an error after more lines than are written in a second. */
const errorScript = `
  import {openLogSink} from './dist/src/node/logSink.js';
  import {Log, LogLevel, setLogLevel} from './dist/src/node/log.js';
  const sink = openLogSink();
  setLogLevel(LogLevel.Info);
  const log = new Log({vm: 'vm-1'});
  for (let i = 0; i < 1000; i++) log.logInfo('line');
  for (let i = 0; i < 1000; i++) log.logError('cause');
  await sink.close();
`;

describe('log sink', () => {
  // Guards against a busy process that ends without a line about the error that
  // ended it.
  it('should write the first errors of a second beyond its limit', async () => {
    const child = spawn(
      process.execPath,
      ['--input-type=module', '--eval', errorScript],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    let output = '';
    child.stdout.on('data', text => (output += String(text)));
    await once(child, 'close');
    const count = (event: string) =>
      output.split('\n').filter(line => line.includes(`"${event}"`)).length;
    expect(count('line')).to.be.within(1, 400);
    expect(count('cause')).to.be.within(1, 50);
  });

  // Guards against a log collector that stops reading the pipe: the event loop
  // must not block, and the buffered lines must not fill the memory.
  it('should neither block nor grow when its reader stops', async () => {
    const child = spawn(
      process.execPath,
      ['--input-type=module', '--eval', script],
      {stdio: ['ignore', 'pipe', 'pipe']},
    );
    let report = '';
    child.stderr.on('data', text => (report += String(text)));
    const [code] = (await once(child, 'exit')) as [number];
    expect(code).to.equal(0);
    const result = JSON.parse(report) as Record<string, number>;
    expect(result.turns).to.be.greaterThan(100);
    expect(result.dropped).to.be.greaterThan(0);
    expect(result.suppressed).to.be.greaterThan(0);
    expect(result.heapMb).to.be.lessThan(40);
  });
});
