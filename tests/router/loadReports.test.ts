import {expect} from 'chai';
import {sumBacklog} from '../../src/router/prefillBacklog.js';
import {
  RouterFixture,
  formatStreamHead,
  type RunningRouter,
} from './routerFixture.js';

/** Half of the interval between regular reports. */
const maxDelayMs = 45;
const rounds = 5;

interface Dump {
  readonly servers: {usable: Array<{fleet?: {backlog: number[]}}>};
}

/** Returns the prefill backlog of the only server as reported by peers. */
function sumPeerBacklog({daemon}: RunningRouter): number {
  const {servers} = daemon.describe() as Dump;
  return sumBacklog(servers.usable[0]?.fleet?.backlog ?? []);
}

describe('reports of load', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
  });

  afterEach(() => fixture.stop());

  // Routers that learn of a long prompt too late place theirs on the same
  // engine.
  it('should go out at once after a long prompt', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatStreamHead(request)),
    );
    const first = await fixture.addRouter();
    const second = await fixture.addRouter();
    for (const router of [first, second]) await fixture.waitReady(router);
    const delaysMs: number[] = [];
    for (let i = 0; i < rounds; i++) {
      const abortController = new AbortController();
      const send = (id: string, tokens: number) =>
        fixture
          .call(first, '/ask/1', {
            headers: {'x-prompt': id, 'x-prompt-tokens': String(tokens)},
            signal: abortController.signal,
          })
          .catch(() => undefined);
      // The report of this prompt starts an interval in which no other is due.
      const calls = [send(`short-${i}`, 100)];
      await fixture.waitUntil(() => sumPeerBacklog(second) > 0, 'short prompt');
      const startedAtMs = performance.now();
      calls.push(send(`long-${i}`, 8_000));
      await fixture.waitUntil(
        () => sumPeerBacklog(second) > 4_000,
        'long prompt',
      );
      delaysMs.push(performance.now() - startedAtMs);
      abortController.abort();
      await Promise.all(calls);
      await fixture.waitUntil(() => sumPeerBacklog(second) === 0, 'no prompt');
    }
    // Other load on the machine can delay single rounds.
    expect(Math.min(...delaysMs)).to.be.lessThan(maxDelayMs);
  });
});
