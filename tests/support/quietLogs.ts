/** Keeps log lines out of the test report; LOG_LEVEL shows them. */
import {LogLevel, setLogLevel} from '../../src/node/log.js';
import loglevel from 'loglevel';

const wanted = Object.values(LogLevel).find(
  level => level === process.env.LOG_LEVEL,
);
if (wanted) setLogLevel(wanted);
else loglevel.disableAll();
