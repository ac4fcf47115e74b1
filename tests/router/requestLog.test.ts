import {expect} from 'chai';
import loglevel from 'loglevel';
import {
  formatBackendAnswer,
  RouterFixture,
  sampleDeployment,
} from './routerFixture.js';

describe('log of a router', () => {
  let fixture: RouterFixture;
  let lines: Array<Record<string, unknown>>;
  const {methodFactory} = loglevel;
  const levelBefore = loglevel.getLevel();

  beforeEach(() => {
    fixture = new RouterFixture();
    lines = [];
    loglevel.methodFactory = () => (line: string) =>
      void lines.push(JSON.parse(line) as Record<string, unknown>);
    loglevel.setLevel('info', false);
  });

  afterEach(async () => {
    await fixture.stop();
    loglevel.methodFactory = methodFactory;
    loglevel.setLevel(levelBefore, false);
  });

  const find = (event: string) => lines.find(line => line.event === event);

  // Guards against incidents in which nobody can tell whether a request was
  // handled by an older version of the deployment.
  it('should name the version that a request was handled by', async () => {
    await fixture.addBackend((socket, request) =>
      socket.write(formatBackendAnswer(request, 'ok')),
    );
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    await fixture.call(router, '/status/1');
    expect(find('answered')).to.include({
      route: 'status',
      deployment: sampleDeployment.version,
      sends: 1,
    });
  });

  // Guards against a router that notices closed connections and deadlines late,
  // and whose log doesn't show it.
  it('should show that timers fire late', async () => {
    await fixture.addRouter();
    await fixture.waitUntil(() => find('started') !== undefined, 'start');
    const busyUntilMs = performance.now() + 900;
    while (performance.now() < busyUntilMs);
    const isLogged = () => find('event loop delayed') !== undefined;
    await fixture.waitUntil(isLogged, 'line about the delay');
    expect(find('event loop delayed')?.lagMs).to.be.at.least(200);
  });
});
