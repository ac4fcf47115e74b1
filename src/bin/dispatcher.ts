#!/usr/bin/env node
/** The `anvilstall-dispatcher` binary. */

// SIGHUP terminates a process by default. One that arrives while the modules
// load can be ignored, as the settings are read afterwards.
process.on('SIGHUP', () => undefined);

const {readSettings} = await import('../config/settings.js');
const {DispatcherDaemon} = await import('../dispatcher/dispatcherDaemon.js');
const {runDaemon} = await import('./runDaemon.js');
const {version} = await import('./version.js');

runDaemon({
  name: 'anvilstall-dispatcher',
  version,
  readSettings,
  start: settings => DispatcherDaemon.start(settings),
});
