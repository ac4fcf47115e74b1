/** Bundles the router of the users' platform into one file, which starts faster. */
import fs from 'node:fs';
import {build} from 'esbuild';

const {version} = JSON.parse(fs.readFileSync('package.json', 'utf8'));

/**
 * Parts of libraries that the router never calls. Left in, they make a third of
 * what each process compiles and keeps in memory.
 */
const unusedModules = [
  /undici\/lib\/(web|mock|cache|interceptor)\//,
  /undici\/lib\/dispatcher\/(client-h2|h2c-client|.*-agent|balanced-pool|round-robin-pool)\.js$/,
  // Loads TLS and compression, which cost as much as the router's own code.
  /prom-client\/lib\/pushgateway\.js$/,
];
const zodLocales = /zod\/v4\/locales\/index\.js$/;

const leaveOutUnused = {
  name: 'leave out unused modules',
  setup({onLoad}) {
    // The index of undici makes objects of some of these classes.
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

await build({
  entryPoints: ['platform/routerBinary.ts'],
  outfile: 'target/anvilstall-router.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  define: {'process.env.ANVILSTALL_VERSION': JSON.stringify(version)},
  plugins: [leaveOutUnused],
  // Source text stays in memory; names are needed for the types of errors.
  minify: true,
  keepNames: true,
  banner: {
    js: [
      "import {createRequire} from 'node:module';",
      'const require = createRequire(import.meta.url);',
      // The bundle's modules run before its binary takes reload signals.
      "process.on('SIGHUP', () => {});",
    ].join(' '),
  },
});
