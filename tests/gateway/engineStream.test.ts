import {expect} from 'chai';
import {EngineConnections} from '../../src/gateway/engineConnections.js';
import {
  AttemptEndKind,
  runAttempt,
  type AttemptEnd,
  type ChunkHandler,
} from '../../src/gateway/engineStream.js';
import {OutcomeTracker} from '../../src/gateway/outcomeTracker.js';
import {Outcome} from '../../src/protocol/outcome.js';
import {answerTokens, FakeEngine} from '../support/fakeEngine.js';
import {chatRequest, waitUntil} from '../support/gatewayFixtures.js';

describe('engine stream', () => {
  let engine: FakeEngine;
  let tracker: OutcomeTracker;

  beforeEach(() => {
    tracker = new OutcomeTracker();
  });

  function sendRequest(
    onChunk: ChunkHandler,
    signal = new AbortController().signal,
  ): Promise<AttemptEnd> {
    return runAttempt({
      attemptId: 'r1.1',
      request: chatRequest,
      priority: 1,
      resumeFrom: 0,
      deadlineMs: 1_000,
      getTokenTimeouts: () => ({firstTokenMs: 5_000, betweenTokensMs: 50}),
      connection: new EngineConnections().open(engine.address),
      tracker,
      signal,
      onChunk,
    });
  }

  afterEach(() => engine.stop());

  // Guards against treating all streams as silent after a process pause, when
  // timers run before the sockets are read.
  it('should read what arrived during a pause before it calls it silent', async () => {
    engine = await FakeEngine.start(call => call.sendToken(0));
    let taken = 0;
    const end = await sendRequest(async () => {
      if (++taken === 1) {
        setImmediate(() => {
          engine.calls[0].sendTokens(undefined, 1);
          const resumesAtMs = performance.now() + 120;
          while (performance.now() < resumesAtMs);
        });
      }
      return true;
    });
    expect(end.kind).to.equal(AttemptEndKind.Complete);
    expect(taken).to.equal(answerTokens.length);
  });

  // Guards against unbounded buffering for a slow caller.
  it('should read no further while the caller takes nothing', async () => {
    engine = await FakeEngine.start(call => {
      call.sendToken(0);
      for (let i = 0; i < 20_000; i++) call.sendToken(0);
    });
    const abortController = new AbortController();
    let isTaken = false;
    const end = sendRequest(
      () =>
        new Promise(resolve => {
          isTaken = true;
          abortController.signal.addEventListener('abort', () =>
            resolve(false),
          );
        }),
      abortController.signal,
    );
    await waitUntil(() => isTaken);
    const [call] = engine.calls;
    const {response} = call;
    const takeTurn = () => new Promise(resolve => setImmediate(resolve));
    // The kernel buffers more than 5 MB of a connection, and its buffers go on
    // growing for a while after they have filled up. The engine sends until
    // nothing is taken any more: up to 70 MB, twice what the buffers can hold.
    const settledMs = 500;
    let changedAtMs = performance.now();
    let batches = 0;
    let pendingBytes = 0;
    while (performance.now() - changedAtMs < settledMs && batches < 1_000) {
      if (response.writableLength === 0) {
        batches += 1;
        for (let i = 0; i < 300; i++) call.sendToken(0);
      }
      if (response.writableLength !== pendingBytes) {
        pendingBytes = response.writableLength;
        changedAtMs = performance.now();
      }
      await takeTurn();
    }
    const before = response.writableLength;
    for (let turn = 0; turn < 1_000; turn++) await takeTurn();
    expect(response.writableLength).to.be.above(0);
    expect(response.writableLength).to.be.at.most(before);
    abortController.abort();
    expect((await end).kind).to.equal(AttemptEndKind.Aborted);
    await waitUntil(() => engine.calls[0].closed);
  });

  // Guards against an engine that fills the gateway's memory with one event.
  it('should give up an event without end', async () => {
    engine = await FakeEngine.start(({response}) => {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      response.write('data: ');
      for (let i = 0; i < 64; i++) response.write('x'.repeat(16 * 1024));
    });
    const end = await sendRequest(async () => true);
    expect(end.kind).to.equal(AttemptEndKind.Broken);
    expect(end.error?.message).to.contain('longer');
  });

  // Guards against sending a request whose caller has already left.
  it('should write nothing when it is aborted before the connection opens', async () => {
    engine = await FakeEngine.start();
    const abortController = new AbortController();
    const end = sendRequest(async () => true, abortController.signal);
    abortController.abort();
    expect((await end).kind).to.equal(AttemptEndKind.Aborted);
    await waitUntil(() => engine.countConnections() === 1);
    expect(tracker.decide()).to.equal(Outcome.NotRun);
    // The second request arrives after anything that was sent before it, so the
    // engine must have seen only this one.
    const later = await sendRequest(async () => true);
    expect(later.kind).to.equal(AttemptEndKind.Complete);
    expect(engine.calls).to.have.length(1);
  });
});
