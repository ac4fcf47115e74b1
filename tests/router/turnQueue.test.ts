import {expect} from 'chai';
import {Turn, TurnQueue} from '../../src/router/turnQueue.js';

/** Occupies the processor like the work on a request. */
function runFor(ms: number): void {
  const endsAtMs = performance.now() + ms;
  while (performance.now() < endsAtMs);
}

const connected = new AbortController().signal;

describe('turns of the event loop', () => {
  let turns: TurnQueue;

  beforeEach(() => {
    turns = new TurnQueue();
  });

  /** Waits for a turn, then works for some time. */
  async function takeTurn(
    rank: number,
    maxWaitMs: number,
    signal = connected,
  ): Promise<Turn> {
    const turn = await turns.wait({rank, maxWaitMs, signal});
    if (turn === Turn.Granted) runFor(5);
    return turn;
  }

  it('should be granted at once while the processor keeps up', async () => {
    expect(await takeTurn(9, 0)).to.equal(Turn.Granted);
    expect(turns.size).to.equal(0);
  });

  // Guards against a burst that occupies the event loop until it has been
  // processed, so that nobody notices callers that leave and deadlines that pass.
  it('should let other events in between the requests of a burst', async () => {
    const startedAtMs = performance.now();
    let timerFiredAfterMs = Infinity;
    setTimeout(() => (timerFiredAfterMs = performance.now() - startedAtMs), 1);
    const results = await Promise.all(
      Array.from({length: 60}, () => takeTurn(1, 1_000)),
    );
    expect(results).to.deep.equal(new Array(60).fill(Turn.Granted));
    const totalMs = performance.now() - startedAtMs;
    expect(totalMs).to.be.at.least(300);
    expect(timerFiredAfterMs).to.be.below(totalMs / 2);
  });

  // Guards against forwarding a request that waited in the socket after its
  // caller had left, because the end of the connection had not been read yet.
  it('should not be granted before the next poll while connections come in', async () => {
    const leaving = new AbortController();
    turns.recordAccept();
    runFor(25);
    const turn = takeTurn(1, 1_000, leaving.signal);
    // The next poll finds that the caller has left.
    setImmediate(() => leaving.abort());
    expect(await turn).to.equal(Turn.Abandoned);
  });

  // Guards against forwarding a request (GONE) whose caller's end was read in
  // the next poll: a large body takes several reads, long after the accept.
  it('should not be granted before the next poll while none come in', async () => {
    const leaving = new AbortController();
    const turn = takeTurn(1, 1_000, leaving.signal);
    setImmediate(() => leaving.abort());
    expect(await turn).to.equal(Turn.Abandoned);
  });

  it('should be granted in order of urgency, then of arrival', async () => {
    const order: string[] = [];
    const add = async (rank: number, name: string) => {
      await takeTurn(rank, 1_000);
      order.push(name);
    };
    // Uses up the first slice.
    const first = Array.from({length: 4}, () => add(5, 'first'));
    await Promise.all(first);
    runFor(25);
    await Promise.all([add(5, 'c'), add(5, 'd'), add(2, 'a'), add(2, 'b')]);
    expect(order.slice(4)).to.deep.equal(['a', 'b', 'c', 'd']);
  });

  it('should not be granted too late or to callers that have left', async () => {
    const leaving = new AbortController();
    const burst = Array.from({length: 20}, () => takeTurn(1, 1_000));
    const late = takeTurn(2, 10);
    const abandoned = takeTurn(2, 1_000, leaving.signal);
    leaving.abort();
    expect(await late).to.equal(Turn.Expired);
    expect(await abandoned).to.equal(Turn.Abandoned);
    expect(await Promise.all(burst)).not.to.include(Turn.Expired);
  });
});
