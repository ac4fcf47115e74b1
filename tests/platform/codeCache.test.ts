import {spawnSync} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';

/** Reads the flags under which the platform starts the router. */
function readNodeFlags(): string[] {
  const deployFile = fs.readFileSync('deploy/system.toml', 'utf8');
  const [, flags] = /^run = "node (.*) target\/\S+ /m.exec(deployFile)!;
  return flags.split(' ');
}

function startRouter(flags: readonly string[], settingsFile: string) {
  return spawnSync(
    process.execPath,
    [
      ...flags,
      'target/anvilstall-router.mjs',
      '--settings',
      settingsFile,
      '--check',
    ],
    {encoding: 'utf8'},
  );
}

describe('start of the bundled router', () => {
  let folder: string;
  let settingsFile: string;

  before(function () {
    this.timeout(60_000);
    const build = spawnSync(process.execPath, ['deploy/bundle.js'], {
      encoding: 'utf8',
    });
    expect(build.status, build.stderr).to.equal(0);
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'anvilstall-'));
    settingsFile = path.join(folder, 'settings.json');
    fs.writeFileSync(
      settingsFile,
      JSON.stringify({
        vm: 'vm-1',
        zone: 'a',
        address: '127.0.0.1',
        linkMbps: 490,
        listen: {
          callers: '127.0.0.1:80',
          ready: '127.0.0.1:81',
          addresses: '127.0.0.1:82',
          peers: '127.0.0.1:83',
          exchangePort: 84,
          metricsPort: 0,
        },
        seeds: [],
        store: '127.0.0.1:85',
        shutdown: {graceSeconds: 8},
        retries: {ratio: 0.2, slack: 100, windowSeconds: 10},
      }),
    );
  });

  after(() => fs.rmSync(folder, {recursive: true}));

  // Guards against a code cache that V8 rejects, which only makes each start
  // slower: after the loss of all routers, callers wait for their start.
  it('should use its code cache under the flags of the deploy file', () => {
    const {status, stderr} = startRouter(readNodeFlags(), settingsFile);
    expect(stderr).to.equal('');
    expect(status).to.equal(0);
  });

  it('should start without a usable code cache, and say so', () => {
    const {status, stderr} = startRouter(['--max-lazy'], settingsFile);
    expect(status).to.equal(0);
    expect(stderr).to.contain('code cache rejected');
  });

  // Guards against a router that stands still for 40 s at a failed assertion,
  // while Node.js parses the bundle for the text of its message.
  it('should contain no assertions that read the source', () => {
    const bundle = fs.readFileSync('target/router.cjs', 'utf8');
    expect(bundle).to.not.match(/require\("(node:)?assert"\)/);
  });
});
