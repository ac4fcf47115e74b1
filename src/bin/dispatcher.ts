#!/usr/bin/env node
/** The `anvilstall-dispatcher` binary. */
import {DispatcherDaemon} from '../dispatcher/dispatcherDaemon.js';
import {runDaemon} from './runDaemon.js';

runDaemon('anvilstall-dispatcher', settings =>
  DispatcherDaemon.start(settings),
);
