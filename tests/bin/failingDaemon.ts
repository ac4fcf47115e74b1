/** A daemon some of whose requests cause errors that nothing catches. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {ok} from 'neverthrow';
import {runDaemon} from '../../src/bin/runDaemon.js';
import {waitFor} from '../../src/node/delay.js';
import {stopListening} from '../../src/node/stopListening.js';

/** Paths of requests that cause errors; all requests are answered. */
export enum FailingPath {
  Throw = '/throw',
  /** Throws again while the daemon stops. */
  ThrowAgain = '/throw-again',
  Reject = '/reject',
}

/** Time that an answer takes, in milliseconds. */
const answerMs = 500;
/** When errors are thrown again, in milliseconds after the request. */
const throwTimesMs = [0, 50, 100];

/**
 * Runs the daemon. It prints its port, then a line for each request.
 *
 * @param restartDelayMs - time that it waits before it stops after an error
 */
export function runFailingDaemon(restartDelayMs: number): void {
  runDaemon({
    name: 'failing-daemon',
    version: 'test',
    readSettings: () => ok({logLevel: 'info'}),
    start: async () => {
      const server = http.createServer((incoming, response) => {
        console.log(incoming.url);
        response.shouldKeepAlive = false;
        setTimeout(() => response.end('done'), answerMs);
        fail(incoming.url);
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', () => resolve()),
      );
      console.log((server.address() as AddressInfo).port);
      return {
        stop: () => stopListening(server),
        waitForRestart: () => waitFor(restartDelayMs),
      };
    },
  });
}

function fail(path: string | undefined): void {
  switch (path) {
    case FailingPath.Throw:
      setImmediate(raiseError);
      return;
    case FailingPath.ThrowAgain:
      for (const delayMs of throwTimesMs) setTimeout(raiseError, delayMs);
      return;
    case FailingPath.Reject:
      void Promise.reject(new Error('rejected'));
      return;
    default:
  }
}

function raiseError(): void {
  throw new Error('thrown in a callback');
}
