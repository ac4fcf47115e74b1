#!/usr/bin/env node
/** The `anvilstall-gateway` binary. */
import {GatewayDaemon} from '../gateway/gatewayDaemon.js';
import {runDaemon} from './runDaemon.js';

runDaemon('anvilstall-gateway', settings => GatewayDaemon.start(settings));
