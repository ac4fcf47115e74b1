/** Entry point of the failing daemon. */
import {runFailingDaemon} from './failingDaemon.js';

runFailingDaemon();
