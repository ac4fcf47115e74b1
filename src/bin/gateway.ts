#!/usr/bin/env node
/** The `anvilstall-gateway` binary. */

// SIGHUP terminates a process by default. One that arrives while the modules
// load can be ignored, as the settings are read afterwards.
process.on('SIGHUP', () => undefined);

const {readSettings} = await import('../config/settings.js');
const {GatewayDaemon} = await import('../gateway/gatewayDaemon.js');
const {runDaemon} = await import('./runDaemon.js');
const {version} = await import('./version.js');

runDaemon({
  name: 'anvilstall-gateway',
  version,
  readSettings,
  start: settings => GatewayDaemon.start(settings),
});
