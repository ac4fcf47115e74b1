import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import type {
  BackendRequest,
  RawHeaders,
} from '../../src/router/messageCodec.js';
import {readRunQueueWaitMs} from '../support/runQueueWait.js';
import {PlainCodec} from './plainCodec.js';
import {formatBackendAnswer, RouterFixture} from './routerFixture.js';

/** Processor time that each request takes, in milliseconds. */
const workMs = 10;
/** Target of the sample routes. */
const targetMs = 300;

/** Requests that arrive together, each on a connection of its own. */
const burst = 80;
/** Time after which callers leave. */
const patienceMs = 250;
/** Time within which the router must notice that a caller has left. */
const noticeMs = 100;

class BusyCodec extends PlainCodec {
  override encodeRequest(headers: RawHeaders, request: BackendRequest) {
    const endsAtMs = performance.now() + workMs;
    while (performance.now() < endsAtMs);
    return super.encodeRequest(headers, request);
  }
}

describe('a router without enough processor time', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  // Guards against forwarding requests seconds after their callers have left
  // (GONE): connections that waited to be accepted were not noticed as closed.
  it('should not forward requests of callers that have left', async () => {
    const arrivedAtMs: number[] = [];
    await fixture.addBackend((socket, request) => {
      arrivedAtMs.push(performance.now());
      socket.write(formatBackendAnswer(request, 'ok'));
    });
    const router = await fixture.addRouter({codec: new BusyCodec()});
    await fixture.waitReady(router);
    let leftAtMs = Infinity;
    const callAndLeave = (path: string) => {
      const signal = AbortSignal.timeout(patienceMs);
      signal.addEventListener('abort', () => (leftAtMs = performance.now()));
      return fixture.call(router, path, {signal});
    };
    await Promise.allSettled(
      Array.from({length: burst}, (_, i) => callAndLeave(`/status/${i}`)),
    );
    await waitFor(burst * workMs);
    const late = arrivedAtMs.filter(atMs => atMs > leftAtMs + noticeMs);
    expect(late).to.be.empty;
  });

  // Guards against requests that wait to be read until their route's time-out and
  // beyond it, without any answer (CONFIG), because none is refused.
  it('should refuse at once what it cannot process in time', async () => {
    const backend = await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const router = await fixture.addRouter({codec: new BusyCodec()});
    await fixture.waitReady(router);
    const startedAtMs = performance.now();
    const waitedBeforeMs = readRunQueueWaitMs();
    const answers = await Promise.all(
      Array.from({length: burst}, (_, i) =>
        fixture.call(router, `/status/${i}`),
      ),
    );
    // On a busy machine, the time without a processor isn't the router's.
    const waitedMs = readRunQueueWaitMs() - waitedBeforeMs;
    const elapsedMs = performance.now() - startedAtMs - waitedMs;
    expect(elapsedMs).to.be.below(2 * targetMs);
    const served = answers.filter(({status}) => status === 200);
    const refused = answers.filter(({status}) => status === 503);
    expect(served.length + refused.length).to.equal(burst);
    expect(served.length).to.equal(backend.requests.length);
    expect(served.length).to.be.at.least(1);
    expect(refused.length).to.be.at.least(1);
    for (const {body} of refused) {
      expect(body).to.contain('"reason":"queueFull"');
      expect(body).to.contain('"outcome":"notRun"');
      expect(body).to.match(/"retryAfterMs":[1-9]/);
    }
  });
});
