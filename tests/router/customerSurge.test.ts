import {expect} from 'chai';
import type net from 'node:net';
import {waitFor} from '../../src/node/delay.js';
import {
  formatChunk,
  formatStreamHead,
  lastChunk,
  readHeader,
  RouterFixture,
  sampleDeployment,
  type RunningRouter,
} from './routerFixture.js';

/** Prefill rate of the engines, as a router assumes it at first. */
const tokensPerMs = 40;
const promptTokens = 4_000;
const surgeMs = 3_000;

/** An engine that prefills one prompt after the other. */
function serveEngine(): (socket: net.Socket, request: string) => void {
  let freeAtMs = 0;
  return (socket, request) => {
    const tokens = Number(readHeader(request, 'x-prompt-tokens'));
    const startMs = Math.max(freeAtMs, performance.now());
    freeAtMs = startMs + tokens / tokensPerMs;
    setTimeout(() => {
      const event = formatChunk('id: 1\ndata: x\n\n');
      socket.write(formatStreamHead(request) + event + lastChunk);
    }, freeAtMs - performance.now());
  };
}

describe('a customer that sends far more than the others', () => {
  let fixture: RouterFixture;

  beforeEach(() => {
    fixture = new RouterFixture();
    fixture.platform.deployment = {
      ...sampleDeployment,
      customers: [
        {name: 'museum', keys: ['k1']},
        {name: 'library', keys: ['k2']},
      ],
    };
  });

  afterEach(() => fixture.stop());

  /** Returns how many of the requests of a customer were answered. */
  async function send(
    routers: readonly RunningRouter[],
    key: string,
    intervalMs: number,
  ): Promise<{sent: number; answered: number}> {
    const calls: Array<Promise<{status: number}>> = [];
    const endsAtMs = performance.now() + surgeMs;
    while (performance.now() < endsAtMs) {
      const prompt = `${key}-${calls.length}`;
      const headers = {
        'x-key': key,
        'x-prompt': prompt,
        'x-prompt-tokens': String(promptTokens),
      };
      const router = routers[calls.length % routers.length];
      calls.push(fixture.call(router, '/draft/1', {headers}));
      await waitFor(intervalMs);
    }
    const answers = await Promise.all(calls);
    const answered = answers.filter(({status}) => status === 200).length;
    return {sent: calls.length, answered};
  }

  // Load: two engines take 20 prompts a second; one customer sends 60, the other
  // 5. Guards against refusing both alike, with real requests and reports.
  it('should be refused while the other is served', async () => {
    for (let i = 0; i < 2; i++) await fixture.addBackend(serveEngine());
    const routers = [
      await fixture.addRouter({hasMetrics: true, sharesCustomers: true}),
      await fixture.addRouter({sharesCustomers: true}),
    ];
    for (const router of routers) await fixture.waitReady(router);
    const [museum, library] = await Promise.all([
      send(routers, 'k1', 1_000 / 60),
      send(routers, 'k2', 1_000 / 5),
    ]);
    // In so short a time, refusals before the first reports count for much.
    const museumRatio = museum.answered / museum.sent;
    expect(library.answered / library.sent).to.be.above(2 * museumRatio);
    const {body} = await fixture.get(routers[0].metrics, '/metrics');
    expect(body).to.match(
      /anvilstall_customer_share_refusals\{customer="museum"\} [1-9]/,
    );
    const dump = JSON.stringify(routers[0].daemon.describe());
    expect(dump).to.include('"customer":"library"');
  });
});
