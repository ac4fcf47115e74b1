/** Entry point of the daemon whose requests cause errors. */
import {runFailingDaemon} from './failingDaemon.js';

runFailingDaemon(Number(process.argv[2] ?? 0));
