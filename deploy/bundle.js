/**
 * Bundles the platform router into a single file, and stores V8's code cache for
 * it, to shorten its start-up.
 */
import {spawnSync} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const {version} = JSON.parse(fs.readFileSync('package.json', 'utf8'));

/**
 * Library modules that the router never calls. They would account for a third
 * of the code that each process compiles and keeps in memory.
 */
const unusedModules = [
  /undici\/lib\/(web|mock|cache|interceptor)\//,
  /undici\/lib\/dispatcher\/(client-h2|h2c-client|.*-agent|balanced-pool|round-robin-pool)\.js$/,
  // Loads TLS and compression, which take as much memory and start-up time as
  // the router's own code.
  /prom-client\/lib\/pushgateway\.js$/,
];
const zodLocales = /zod\/v4\/locales\/index\.js$/;

const leaveOutUnused = {
  name: 'leave out unused modules',
  setup({onLoad}) {
    // The index of undici instantiates some of these classes, so that the stub
    // has to be constructable and answer every property.
    for (const filter of unusedModules) {
      onLoad({filter}, () => ({
        contents:
          'module.exports = new Proxy(class {}, {get: () => class {}});',
      }));
    }
    onLoad({filter: zodLocales}, () => ({
      contents: "export {default as en} from './en.js';",
    }));
  },
};

const hashFunctions = /src\/node\/hashFunctions\.ts$/;

// A script can't await the hash functions, so the start script passes them in.
const takeHashFunctions = {
  name: 'take hash functions from the start script',
  setup({onLoad}) {
    onLoad({filter: hashFunctions}, () => ({
      contents:
        'export const {h32, h32Raw} = globalThis.anvilstallHashFunctions;',
    }));
  },
};

// For the message of a failed assertion without one, Node.js parses the line of
// the source that holds it: here the whole bundle, for 40 s.
const usePlainAssertions = {
  name: 'use assertions that read no source',
  setup({onResolve, onLoad}) {
    onResolve({filter: /^(node:)?assert$/}, () => ({
      path: 'assert',
      namespace: 'plain',
    }));
    onLoad({filter: /^assert$/, namespace: 'plain'}, () => ({
      contents: `
        class AssertionError extends Error {
          code = 'ERR_ASSERTION';
        }
        module.exports = function assert(value, message) {
          if (value) return;
          if (message instanceof Error) throw message;
          throw new AssertionError(message ?? 'assertion failed');
        };`,
    }));
  },
};

const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  // V8 keeps the source text in memory, so it is minified. Class names are kept
  // because error types are told apart by them.
  minify: true,
  keepNames: true,
};

await build({
  ...options,
  entryPoints: ['platform/routerBinary.ts'],
  outfile: 'target/router.cjs',
  format: 'cjs',
  define: {'process.env.ANVILSTALL_VERSION': JSON.stringify(version)},
  plugins: [leaveOutUnused, takeHashFunctions, usePlainAssertions],
});
await build({
  ...options,
  entryPoints: ['deploy/startRouter.js'],
  outfile: 'target/anvilstall-router.mjs',
  format: 'esm',
});
writeCodeCache();

/**
 * Runs the router with the flags of the deploy file, because V8 accepts a code
 * cache only under the flags that it was made with. The settings file does not
 * exist, so the router ends once its modules are loaded.
 */
function writeCodeCache() {
  const deployFile = fs.readFileSync('deploy/system.toml', 'utf8');
  const [, flags] = /^run = "node (.*) target\/\S+ /m.exec(deployFile);
  fs.rmSync('target/router.cache', {force: true});
  spawnSync(
    process.execPath,
    [...flags.split(' '), 'target/anvilstall-router.mjs', '--settings', ''],
    {env: {...process.env, ANVILSTALL_CODE_CACHE: 'write'}},
  );
  if (!fs.existsSync('target/router.cache')) {
    throw new Error('the router did not write its code cache');
  }
}
