import net from 'node:net';
import {expect} from 'chai';
import {waitFor} from '../../src/node/delay.js';
import {DarkPorts} from '../support/darkPorts.js';
import {
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  host,
  lastChunk,
  RouterFixture,
  sampleDeployment,
  sampleServer,
  type CallerAnswer,
  type RunningRouter,
} from './routerFixture.js';

/** Longest time that the attempt before may go on beside a resumption. */
const maxOverlapMs = 400;
/** More than a test may take. */
const unreachedMs = 60_000;
/** Far below the pause after which a stream is silent. */
const eventIntervalMs = 50;
/**
 * Longer than two servers may have a request, and shorter than the time-out of
 * a connection.
 */
const connectingMs = 300;
const formatEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const events = [1, 2, 3].map(formatEvent);
const rest = formatChunk(events[1] + events[2]) + lastChunk;

/** A backend server as the router's dump shows it. */
interface DumpedServer {
  readonly id: string;
  readonly own: {readonly requests: number};
  readonly outcomes: {readonly failures: number};
}

/** A request as a server received it. */
interface Run {
  readonly socket: net.Socket;
  readonly request: string;
  /** `performance.now()` at the close of the connection. */
  closedAtMs?: number;
}

describe('resumption beside a silent attempt', () => {
  let fixture: RouterFixture;
  let runs: Run[];
  let dark: DarkPorts | undefined;

  beforeEach(() => {
    dark = undefined;
    fixture = new RouterFixture();
    runs = [];
  });

  afterEach(async () => {
    await dark?.close();
    await fixture.stop();
  });

  /** Starts servers; the first one that gets a request sends one event. */
  async function startServers(
    count: number,
    options: {
      retrySlack?: number;
      serveLater?: (run: Run) => void;
      hasMetrics?: boolean;
    } = {},
  ): Promise<RunningRouter> {
    for (let i = 0; i < count; i++) {
      await fixture.addBackend((socket, request) => {
        const run: Run = {socket, request};
        runs.push(run);
        socket.on('close', () => (run.closedAtMs = performance.now()));
        if (runs.length > 1) (options.serveLater ?? sendHead)(run);
        else {
          sendHead(run);
          socket.write(formatChunk(events[0]));
        }
      });
    }
    const router = await fixture.addRouter(options);
    await fixture.waitReady(router);
    return router;
  }

  /**
   * Moves the deadlines of requests behind the end of the test. On a busy
   * machine the process may get no processor time for seconds, and a stream that
   * reaches its deadline is broken off, as it has to be.
   */
  function removeDeadlines(): void {
    const routes = sampleDeployment.routes.map(route => ({
      ...route,
      timeoutMs: unreachedMs,
    }));
    fixture.platform.deployment = {...sampleDeployment, routes};
  }

  function sendHead({socket, request}: Run): void {
    socket.write(formatStreamHead(request));
  }

  function refuse({socket, request}: Run): void {
    const answer = formatBackendAnswer(request, '', 'x-not-run: 1\r\n');
    socket.write(answer.replace('200 OK', '503 Full'));
  }

  const waitForRuns = (count: number) =>
    fixture.waitUntil(() => runs.length >= count, `${count} runs`);

  /** Returns a server if the router knows it. */
  function findServer(
    {daemon}: RunningRouter,
    id: string,
  ): DumpedServer | undefined {
    const dump = daemon.describe() as {servers: {usable: DumpedServer[]}};
    return dump.servers.usable.find(server => server.id === id);
  }

  const waitForClose = (run: Run) =>
    fixture.waitUntil(() => run.closedAtMs !== undefined, 'a close');

  function expectWhole(answer: CallerAnswer): void {
    expect(answer.body).to.equal(events.join(''));
    expect(answer.isComplete).to.equal(true);
  }

  // Guards against two servers at work on one stream for longer than the platform
  // allows, whether or not the second one sends an event by then.
  it('should close the silent connection once the other server has not refused', async () => {
    const router = await startServers(2);
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(2);
    const sentAtMs = performance.now();
    const [silent, other] = runs;
    expect(silent.closedAtMs).to.equal(undefined);
    expect(other.request).to.contain('x-after: 1\r\n');
    await waitForClose(silent);
    expect(silent.closedAtMs! - sentAtMs).to.be.below(maxOverlapMs);
    expect(other.closedAtMs).to.equal(undefined);
    other.socket.write(rest);
    expectWhole(await answer);
    expect(runs).to.have.length(2);
  });

  // Guards against giving up the silent server for one that accepts no
  // connection.
  it('should not close the silent connection while the other connects', async () => {
    removeDeadlines();
    dark = await DarkPorts.open(1);
    const router = await startServers(1);
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(1);
    const [silent] = runs;
    const [port] = dark.ports;
    const server = {...sampleServer, id: 'dark', host: '127.0.0.1', port};
    fixture.platform.publishServers([...fixture.platform.servers, server]);
    const sent = [events[0]];
    const send = () => {
      const event = formatEvent(sent.length + 1);
      sent.push(event);
      silent.socket.write(formatChunk(event));
    };
    // Until the router knows the other server, it sends a silent request to the
    // same server once more.
    while (!findServer(router, 'dark')) {
      send();
      await waitFor(eventIntervalMs);
    }
    await fixture.waitUntil(() => {
      const {own, outcomes} = findServer(router, 'dark')!;
      return own.requests + outcomes.failures > 0;
    }, 'resumption at the other server');
    await waitFor(connectingMs);
    expect(silent.closedAtMs).to.equal(undefined);
    send();
    silent.socket.write(lastChunk);
    const {body, isComplete} = await answer;
    expect(body).to.equal(sent.join(''));
    expect(isComplete).to.equal(true);
    expect(runs).to.have.length(1);
  });

  // Guards against a replay of events that the caller has, by a server that
  // ignores where the stream is to be resumed.
  it('should pass on no event twice when the resumption repeats some', async () => {
    const router = await startServers(2);
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(2);
    runs[1].socket.write(formatChunk(events[0]) + rest);
    expectWhole(await answer);
  });

  // Guards against giving up a server that only paused, and against leaving the
  // other one at work in vain.
  it('should be closed when the silent server sends an event', async () => {
    const router = await startServers(2);
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(2);
    const [silent, other] = runs;
    silent.socket.write(formatChunk(events[1]));
    await waitForClose(other);
    expect(silent.closedAtMs).to.equal(undefined);
    silent.socket.write(formatChunk(events[2]) + lastChunk);
    expectWhole(await answer);
  });

  // Guards against leaving the other server at work when the stream is complete.
  it('should be closed when the silent server ends the stream', async () => {
    const router = await startServers(2);
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(2);
    runs[0].socket.write(lastChunk);
    await waitForClose(runs[1]);
    expect((await answer).isComplete).to.equal(true);
  });

  // Guards against joining the events of two servers.
  it('should pass on each event once when both servers send at the same time', async () => {
    removeDeadlines();
    const router = await startServers(2);
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(2);
    for (const {socket} of runs) {
      socket.write(formatChunk(events[1]));
      socket.write(formatChunk(events[2]) + lastChunk);
    }
    expectWhole(await answer);
  });

  // Guards against breaking off a stream that another server resumes.
  it('should go on when the silent server breaks', async () => {
    const router = await startServers(2);
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(2);
    runs[0].socket.destroy();
    await waitFor(50);
    runs[1].socket.write(rest);
    expectWhole(await answer);
  });

  // Guards against the loss of a stream whose resumption breaks.
  for (const [what, end] of [
    ['breaks', (run: Run) => run.socket.destroy()],
    [
      'fails',
      ({socket, request}: Run) =>
        socket.write(
          formatBackendAnswer(request, 'no').replace('200 OK', '500 Error'),
        ),
    ],
    ['is refused', refuse],
  ] as const) {
    it(`should leave the stream to the silent server when it ${what}`, async () => {
      const router = await startServers(2, {serveLater: end});
      const answer = fixture.call(router, '/draft/1');
      await waitForRuns(2);
      await waitFor(800);
      expect(runs).to.have.length(2);
      runs[0].socket.write(rest);
      expectWhole(await answer);
    });
  }

  // Guards against waiting until the deadline when no attempt is left.
  it('should end the stream when it is refused and the silent server breaks', async () => {
    const router = await startServers(2, {serveLater: refuse});
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(2);
    await waitFor(50);
    const brokenAtMs = performance.now();
    runs[0].socket.destroy();
    const {body, isComplete} = await answer;
    expect(isComplete).to.equal(false);
    expect(body).to.equal(events[0]);
    expect(performance.now() - brokenAtMs).to.be.below(1_000);
  });

  // Guards against giving up after one refusal while another server has room.
  it('should be tried at a third server when the second refuses it', async () => {
    const router = await startServers(3, {
      serveLater: run => {
        if (runs.length === 2) refuse(run);
        else run.socket.write(formatStreamHead(run.request) + rest);
      },
    });
    expectWhole(await fixture.call(router, '/draft/1'));
    expect(runs).to.have.length(3);
    await waitForClose(runs[0]);
  });

  // Guards against taking one retry of the budget for several sends, or several
  // for one: the budget allows two retries.
  it('should take one retry of the budget for each send', async () => {
    const router = await startServers(5, {retrySlack: 30, serveLater: refuse});
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(3);
    await waitFor(700);
    expect(runs).to.have.length(3);
    runs[0].socket.write(rest);
    expectWhole(await answer);
  });

  // Guards against servers at work for a caller that has left.
  it('should end together with the silent attempt when the caller leaves', async () => {
    const router = await startServers(2);
    const [address, port] = router.callers.split(':');
    const caller = net.connect(Number(port), address);
    caller.on('error', () => undefined);
    caller.write(
      `GET /draft/1 HTTP/1.1\r\nhost: ${host}\r\nx-key: k1\r\n` +
        'x-attempt: a1\r\n\r\n',
    );
    await waitForRuns(2);
    const leftAtMs = performance.now();
    caller.destroy();
    for (const run of runs) {
      await waitForClose(run);
      expect(run.closedAtMs! - leftAtMs).to.be.below(maxOverlapMs);
    }
  });

  // Guards against attempts that outlive the deadline of their request.
  it('should end together with the silent attempt at the deadline', async () => {
    const router = await startServers(2);
    const startedAtMs = performance.now();
    const {body, isComplete} = await fixture.call(router, '/draft/1', {
      headers: {'x-deadline': '1600'},
    });
    const elapsedMs = performance.now() - startedAtMs;
    expect(elapsedMs).to.be.within(1_550, 1_600 + maxOverlapMs);
    expect(isComplete).to.equal(false);
    expect(body).to.equal(events[0]);
    expect(runs).to.have.length(2);
    for (const run of runs) await waitForClose(run);
  });

  // Guards against attempts that outlive their router's shutdown.
  it('should end together with the silent attempt when the router stops', async () => {
    const router = await startServers(2);
    const answer = fixture.call(router, '/draft/1');
    await waitForRuns(2);
    await router.daemon.stopNow();
    for (const run of runs) await waitForClose(run);
    expect((await answer).isComplete).to.equal(false);
  });

  // Guards against a second run of a stream whose events have no ids: the
  // caller would get its first events twice.
  it('should not start for a stream without event ids', async () => {
    for (let i = 0; i < 2; i++) {
      await fixture.addBackend((socket, request) => {
        runs.push({socket, request});
        socket.write(formatStreamHead(request) + formatChunk('data: a\n\n'));
        setTimeout(
          () => socket.write(formatChunk('data: b\n\n') + lastChunk),
          1_300,
        );
      });
    }
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const {body} = await fixture.call(router, '/draft/1');
    expect(body).to.equal('data: a\n\ndata: b\n\n');
    expect(runs).to.have.length(1);
  });
});
