import {expect} from 'chai';
import {
  formatBackendAnswer,
  RouterFixture,
  type RunningRouter,
} from './routerFixture.js';

/** The stated limit, in requests a second from the whole fleet. */
const perSecond = 1;
/** Longest span for which the limit is checked, in milliseconds. */
const windowMs = 4_000;
/** Most requests in such a span: one and a half times the limit, and five. */
const mostInWindow = (1.5 * perSecond * windowMs) / 1_000 + 5;
/** Time in which all routers must know a limit, in milliseconds. */
const contactBoundMs = 3_000;
const requestIntervalMs = 40;

describe('backend server with a limit for the whole fleet', () => {
  let fixture: RouterFixture;
  let isLimited: boolean;
  /** When each request reached the server with the limit. */
  let arrivedAtMs: number[];
  let statuses: number[];

  beforeEach(async () => {
    fixture = new RouterFixture();
    isLimited = true;
    arrivedAtMs = [];
    statuses = [];
    await fixture.addBackend((socket, request) => {
      arrivedAtMs.push(performance.now());
      const head = isLimited ? `x-limit: ${perSecond}\r\n` : '';
      socket.write(formatBackendAnswer(request, 'ok', head));
    });
  });

  afterEach(() => fixture.stop());

  /** Sends requests to the routers in turn. */
  async function sendFor(routers: RunningRouter[], ms: number): Promise<void> {
    const calls: Array<Promise<unknown>> = [];
    const endsAtMs = performance.now() + ms;
    for (let sent = 0; performance.now() < endsAtMs; sent++) {
      const path = sent % 3 === 0 ? '/status/1' : '/orders/1';
      const call = fixture.call(routers[sent % routers.length], path);
      calls.push(call.then(({status}) => statuses.push(status)));
      await new Promise(resolve => setTimeout(resolve, requestIntervalMs));
    }
    await Promise.all(calls);
  }

  /** Most requests in any span of `windowMs` after a moment. */
  function findMostInWindow(sinceMs: number): number {
    const times = arrivedAtMs.filter(atMs => atMs >= sinceMs);
    const counts = times.map(
      start =>
        times.filter(atMs => atMs >= start && atMs <= start + windowMs).length,
    );
    return Math.max(0, ...counts);
  }

  async function startRouters(count: number): Promise<RunningRouter[]> {
    for (let i = 0; i < count; i++) await fixture.addRouter();
    for (const router of fixture.routers) await fixture.waitReady(router);
    return fixture.routers;
  }

  // Guards against a server in need that gets its usual share of the requests,
  // because no router reads the limit in its answers.
  it('should get no more than its limit, and others take the rest', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const routers = await startRouters(3);
    const startedAtMs = performance.now();
    await sendFor(routers, contactBoundMs + windowMs);
    const sinceMs = startedAtMs + contactBoundMs;
    expect(findMostInWindow(sinceMs)).to.be.at.most(mostInWindow);
    expect(findMostInWindow(sinceMs)).to.be.at.least(1);
    expect(new Set(statuses)).to.deep.equal(new Set([200]));
  });

  // Guards against a server that gets too little after its need has ended.
  it('should get its share again once it states no limit', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const routers = await startRouters(3);
    await sendFor(routers, contactBoundMs);
    isLimited = false;
    await sendFor(routers, contactBoundMs);
    const endedAtMs = performance.now();
    await sendFor(routers, contactBoundMs);
    const arrived = arrivedAtMs.filter(atMs => atMs >= endedAtMs).length;
    const fairShare = contactBoundMs / requestIntervalMs / 2;
    expect(arrived).to.be.at.least(fairShare / 2);
    expect(new Set(statuses)).to.deep.equal(new Set([200]));
  });

  // Guards against a limit that is broken because there is no other server, and
  // against callers that come back all at once.
  it('should get no more than its limit while there is no other', async () => {
    const routers = await startRouters(3);
    const startedAtMs = performance.now();
    await sendFor(routers, contactBoundMs + windowMs);
    const sinceMs = startedAtMs + contactBoundMs;
    expect(findMostInWindow(sinceMs)).to.be.at.most(mostInWindow);
    expect(findMostInWindow(sinceMs)).to.be.at.least(perSecond * 2);
    expect(new Set(statuses)).to.deep.equal(new Set([200, 503]));
  });
});
