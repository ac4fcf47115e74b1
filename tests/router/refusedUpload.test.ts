import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {RawCaller} from '../support/rawCaller.js';
import {
  formatBackendAnswer,
  host,
  RouterFixture,
  sampleDeployment,
} from './routerFixture.js';

const bodyBytes = 48_000;
const maxBodyBytes = 16_000_000;
/** Longer than the buffers of both sockets, so that the router waits. */
const answerBytes = 12_000_000;

describe('answers of a router that shuts down', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
    fixture.platform.deployment = {
      ...sampleDeployment,
      limits: {...sampleDeployment.limits, maxBodyBytes},
    };
  });

  afterEach(() => fixture.stop());

  function formatHead(path: string, key: string, bytes: number): string {
    return (
      `POST ${path} HTTP/1.1\r\nhost: ${host}\r\nx-key: ${key}\r\n` +
      `x-attempt: r1\r\ncontent-length: ${bytes}\r\n\r\n`
    );
  }

  // Guards against resetting a connection on which the body of a refused request
  // is still arriving: a caller that reads after it has written never sees the
  // answer.
  it('should deliver a refusal to a caller that is still sending', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const caller = await RawCaller.open(router.callers);
    const stopped = router.daemon.stop();
    caller.socket.pause();
    caller.send(formatHead('/orders/1', 'unknown', bodyBytes));
    for (let sent = 0; sent < bodyBytes; sent += bodyBytes / 8) {
      await waitFor(30);
      caller.send('x'.repeat(bodyBytes / 8));
    }
    await waitFor(30);
    caller.socket.resume();
    await caller.ended;
    expect(caller.statuses, caller.errorCode).to.deep.equal([401]);
    await stopped;
  });

  // Guards against exiting while an answer waits for a caller that reads slowly.
  it('should wait until a slow caller has read its answer', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'x'.repeat(answerBytes))),
    );
    const router = await fixture.addRouter({graceSeconds: 6});
    await fixture.waitReady(router);
    const caller = await RawCaller.open(router.callers);
    caller.socket.pause();
    caller.send(formatHead('/orders/1', 'k1', 0));
    const stopped = router.daemon.stop();
    await waitFor(3_600);
    caller.socket.resume();
    await caller.ended;
    await stopped;
    expect(caller.text.length, caller.errorCode).to.be.above(answerBytes);
  });
});
