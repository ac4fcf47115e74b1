/**
 * Starts the bundled router from V8's code cache, because compiling the bundle
 * takes a large part of the processor time of a start.
 */
import console from 'node:console';
import fs from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import {fileURLToPath, URL} from 'node:url';
import vm from 'node:vm';
import xxhash from 'xxhash-wasm';

// The modules run before the binary installs its SIGHUP handler; without this
// one an early reload signal would end the process.
process.on('SIGHUP', () => {});

const bundleFile = fileURLToPath(new URL('router.cjs', import.meta.url));
const cacheFile = fileURLToPath(new URL('router.cache', import.meta.url));
const isWritingCache = process.env.ANVILSTALL_CODE_CACHE === 'write';

globalThis.anvilstallHashFunctions = await xxhash();
const script = new vm.Script(
  `(function (exports, require, module) {${fs.readFileSync(bundleFile, 'utf8')}\n})`,
  {
    filename: bundleFile,
    cachedData:
      !isWritingCache && fs.existsSync(cacheFile)
        ? fs.readFileSync(cacheFile)
        : undefined,
  },
);
if (script.cachedDataRejected) {
  console.error('code cache rejected: made by other flags or another Node.js');
}
if (isWritingCache) {
  // By then, the functions that a start needs are compiled.
  process.on('exit', () =>
    fs.writeFileSync(cacheFile, script.createCachedData()),
  );
}
const module = {exports: {}};
script.runInThisContext()(module.exports, createRequire(bundleFile), module);
