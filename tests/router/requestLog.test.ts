import http from 'node:http';
import {expect} from 'chai';
import loglevel from 'loglevel';
import type {ConnectionScript} from '../gateway/rawServer.js';
import {RawCaller} from '../support/rawCaller.js';
import {
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  host,
  readHeader,
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
      customer: 'museum',
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

  /**
   * Stops a router at once while a backend server has its request and this many
   * answers have begun. Returns the request's id and the caller.
   */
  async function stopDuring(
    path: string,
    answers: number,
    script: ConnectionScript,
  ) {
    let isReceived = false;
    await fixture.addBackend((socket, request) => {
      isReceived = true;
      script(socket, request);
    });
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const requestId = 'r1';
    const caller = await RawCaller.open(router.callers);
    caller.send(
      `GET ${path} HTTP/1.1\r\nhost: ${host}\r\n` +
        `x-key: k1\r\nx-attempt: ${requestId}\r\n\r\n`,
    );
    await fixture.waitUntil(() => isReceived, 'request at the server');
    await caller.waitAnswers(answers);
    await router.daemon.stopNow();
    await caller.ended;
    return {requestId, caller};
  }

  // Guards against incidents in which a request was read and nobody can tell
  // why its connection ended without a complete answer.
  it('should name a request whose connection the router closes', async () => {
    const {requestId} = await stopDuring('/ask/1', 1, (socket, request) => {
      socket.write(formatStreamHead(request));
      socket.write(formatChunk('id: 1\ndata: 1\n\n'));
    });
    const fields = {requestId, state: 'atServer', isHeadSent: true};
    expect(find('in flight')).to.include(fields);
    expect(find('closed without an answer')).to.include({
      ...fields,
      cause: 'routerStopping',
    });
  });

  /** Sends a stream's head and one event, and nothing more. */
  const startStream: ConnectionScript = (socket, request) =>
    socket.write(formatStreamHead(request) + formatChunk('id: 1\ndata: 1\n\n'));
  const reject: ConnectionScript = (socket, request) =>
    socket.write(
      formatBackendAnswer(request, '', 'x-not-run: 1\r\n').replace(
        '200 OK',
        '503 Full',
      ),
    );
  const fail: ConnectionScript = (socket, request) =>
    socket.write(
      formatBackendAnswer(request, '').replace('200 OK', '500 Failed'),
    );
  const breakStream: ConnectionScript = (socket, request) => {
    void startStream(socket, request);
    setTimeout(() => socket.destroy(), 50);
  };
  const breaks: Array<{
    path: string;
    /** Answers to the request and to its resumption. */
    first: ConnectionScript;
    second?: ConnectionScript;
    state: string;
    cause: string;
  }> = [
    {path: '/ask/1', first: startStream, state: 'atServer', cause: 'deadline'},
    {
      path: '/ask/1',
      first: breakStream,
      state: 'atServer',
      cause: 'serverFailed',
    },
    {
      path: '/draft/1',
      first: breakStream,
      second: fail,
      state: 'atServer',
      cause: 'serverFailed',
    },
    {
      path: '/draft/1',
      first: breakStream,
      second: reject,
      state: 'choosingServer',
      cause: 'noServerLeft',
    },
  ];
  for (const {path, first, second, state, cause} of breaks) {
    // Guards against incidents in which a stream ends early and the line about
    // its end shows neither whether it was at a server nor the cause.
    it(`should show that ${path} is cut in ${state} by ${cause}`, async () => {
      const script: ConnectionScript = (socket, request) => {
        if (readHeader(request, 'x-after') === '') first(socket, request);
        else second?.(socket, request);
      };
      for (let i = 0; i < 2; i++) await fixture.addBackend(script);
      const router = await fixture.addRouter();
      await fixture.waitReady(router);
      const headers = {'x-deadline': '900'};
      const {isComplete} = await fixture.call(router, path, {headers});
      expect(isComplete).to.equal(false);
      const isLogged = () => find('closed without an answer') !== undefined;
      await fixture.waitUntil(isLogged, 'line about the end');
      expect(find('closed without an answer')).to.include({state, cause});
    });
  }

  // Guards against the same for a request that is refused at the end.
  it('should name a request that the router refuses at its end', async () => {
    const {requestId, caller} = await stopDuring(
      '/orders/1',
      0,
      () => undefined,
    );
    const fields = {requestId, state: 'atServer', isHeadSent: false};
    expect(find('in flight')).to.include(fields);
    expect(find('refused')).to.include({requestId, outcome: 'mayHaveRun'});
    expect(caller.statuses).to.deep.equal([504]);
    expect(find('closed without an answer')).to.equal(undefined);
  });

  // Guards against blaming the router for callers that leave.
  it('should tell callers that leave from connections it closes', async () => {
    loglevel.setLevel('debug', false);
    let isReceived = false;
    await fixture.addBackend(() => (isReceived = true));
    const router = await fixture.addRouter();
    await fixture.waitReady(router);
    const agent = new http.Agent({keepAlive: true});
    const call = fixture
      .call(router, '/orders/1', {agent})
      .catch(() => undefined);
    await fixture.waitUntil(() => isReceived, 'request at the server');
    agent.destroy();
    await call;
    const isLogged = () => find('closed by the caller') !== undefined;
    await fixture.waitUntil(isLogged, 'line about the caller');
    expect(find('closed by the caller')).to.include({state: 'atServer'});
    expect(find('closed without an answer')).to.equal(undefined);
  });
});
