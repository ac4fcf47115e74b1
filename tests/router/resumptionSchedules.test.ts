import net from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {waitFor} from '../../src/node/delay.js';
import {SteppedClock} from '../support/steppedClock.js';
import {
  formatBackendAnswer,
  formatChunk,
  formatStreamHead,
  lastChunk,
  readHeader,
  RouterFixture,
} from './routerFixture.js';

const seed = Number(process.env.RESUMPTION_SEED ?? 46);
const requestCount = Number(process.env.RESUMPTION_COUNT ?? 100);
const serverCount = 3;
const eventCount = 5;
const deadlineMs = 3_000;
/** A router refuses some of 100 requests that come at once on a busy machine. */
const startIntervalMs = 15;
/** Longest time that the attempt before may go on beside a resumption. */
const maxOverlapMs = 400;
/** Time in which the router closes a connection that it has given up. */
const closeMs = 200;

/** What a server does with one run of a stream. */
type Step =
  | {kind: 'event'}
  | {kind: 'pause'; ms: number}
  | {kind: 'break'}
  | {kind: 'fail'}
  | {kind: 'refuse'};

interface Schedule {
  /** Steps of each run; a run sends the events that are left after them. */
  readonly runs: readonly Step[][];
}

const step: fc.Arbitrary<Step> = fc.oneof(
  {weight: 6, arbitrary: fc.constant<Step>({kind: 'event'})},
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('pause' as const),
      ms: fc.oneof(fc.nat(200), fc.integer({min: 600, max: 1_300})),
    }),
  },
  {weight: 1, arbitrary: fc.constant<Step>({kind: 'break'})},
);
const run: fc.Arbitrary<Step[]> = fc.oneof(
  {weight: 4, arbitrary: fc.array(step, {maxLength: 8})},
  {weight: 4, arbitrary: fc.constant<Step[]>([{kind: 'refuse'}])},
  {weight: 1, arbitrary: fc.constant<Step[]>([{kind: 'fail'}])},
);
/** The first server pauses after its first event, so that most are resumed. */
const firstRun = fc
  .tuple(fc.integer({min: 500, max: 1_400}), fc.array(step, {maxLength: 8}))
  .map(([ms, steps]): Step[] => [
    {kind: 'event'},
    {kind: 'pause', ms},
    ...steps,
  ]);
const scheduleArbitrary: fc.Arbitrary<Schedule> = fc
  .tuple(firstRun, fc.array(run, {minLength: 2, maxLength: 2}))
  .map(([first, later]) => ({runs: [first, ...later]}));

/** One run of a stream at a server. */
class ScriptedRun {
  hasEnded = false;
  /** True once the server has sent the end of the stream. */
  hasSentEnd = false;
  /** True if the router did not close the connection after that. */
  hasCompleted = false;
  /** True once the server has closed the connection within the stream. */
  hasBroken = false;
  /** True once the router has sent another request on the connection. */
  isReused = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly request: string,
  ) {}

  /** True while the server works on it and the router has not closed it. */
  get isActive(): boolean {
    return !this.hasEnded && !this.socket.destroyed;
  }

  async run(steps: readonly Step[], recordEvent: () => void): Promise<void> {
    const {socket, request} = this;
    const [first] = steps;
    if (first?.kind === 'refuse' || first?.kind === 'fail') {
      const isRefusal = first.kind === 'refuse';
      const head = isRefusal ? 'x-not-run: 1\r\n' : '';
      const text = isRefusal ? '503 Full' : '500 Error';
      const answer = formatBackendAnswer(request, '', head);
      socket.write(answer.replace('200 OK', text));
      this.hasEnded = true;
      return;
    }
    socket.write(formatStreamHead(request));
    let id = Number(readHeader(request, 'x-after') || 0);
    const send = () => {
      id += 1;
      socket.write(formatChunk(formatEvent(id)));
      recordEvent();
    };
    for (const step of steps) {
      if (socket.destroyed) return;
      if (step.kind === 'event' && id < eventCount) send();
      if (step.kind === 'pause') await waitFor(step.ms);
      if (step.kind === 'break') {
        this.hasEnded = true;
        this.hasBroken = true;
        socket.destroy();
        return;
      }
    }
    if (socket.destroyed) return;
    while (id < eventCount) send();
    socket.write(lastChunk);
    this.hasEnded = true;
    this.hasSentEnd = true;
    // The router closes the connection of an attempt that it has given up.
    await waitFor(closeMs);
    this.hasCompleted = this.isReused || !socket.destroyed;
  }
}

function formatEvent(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

const whole = Array.from({length: eventCount}, (_, index) =>
  formatEvent(index + 1),
).join('');

describe('resumption of streams on random schedules', () => {
  let fixture: RouterFixture;
  let clock: SteppedClock;

  beforeEach(() => {
    clock = SteppedClock.start();
    fixture = new RouterFixture();
  });

  afterEach(async () => {
    await fixture.stop();
    await clock.stop();
  });

  // Guards against events that are missing, doubled or joined from two runs,
  // against the loss of a stream that a server completes or that no server has
  // broken, and against servers that go on beside the one that took over.
  it('should pass on each event once, and all of them if a server completes', async () => {
    const schedules = fc.sample(scheduleArbitrary, {
      seed,
      numRuns: requestCount,
    });
    const runsOf = schedules.map((): ScriptedRun[] => []);
    const overlaps: number[] = [];
    const lastRunOf = new Map<net.Socket, ScriptedRun>();
    const script = (socket: net.Socket, request: string) => {
      const index = Number(/^GET \/draft\/(\d+)/.exec(request)![1]);
      const runs = runsOf[index];
      const current = new ScriptedRun(socket, request);
      const previous = lastRunOf.get(socket);
      if (previous) previous.isReused = true;
      lastRunOf.set(socket, current);
      const earlier = [...runs];
      runs.push(current);
      let hasEvents = false;
      void current.run(schedules[index].runs[runs.length - 1] ?? [], () => {
        if (hasEvents) return;
        hasEvents = true;
        setTimeout(() => {
          const isOverlapping =
            current.isActive && earlier.some(({isActive}) => isActive);
          if (isOverlapping) overlaps.push(index);
        }, maxOverlapMs);
      });
    };
    for (let i = 0; i < serverCount; i++) {
      await fixture.addBackend(script, {slots: requestCount});
    }
    const router = await fixture.addRouter({retrySlack: 10_000});
    await fixture.waitReady(router);
    const answers = await Promise.all(
      schedules.map(async (_, index) => {
        await waitFor(index * startIntervalMs);
        const startedAtMs = performance.now();
        const answer = await fixture.call(router, `/draft/${index}`);
        return {...answer, elapsedMs: performance.now() - startedAtMs};
      }),
    );
    await waitFor(closeMs + maxOverlapMs);
    for (const [index, answer] of answers.entries()) {
      const {body, isComplete, elapsedMs} = answer;
      const runs = runsOf[index];
      const what = `request ${index} of seed ${seed}: ${JSON.stringify(
        schedules[index],
      )}`;
      expect(whole.startsWith(body), `${what}: ${body}`).to.equal(true);
      if (isComplete) {
        expect(body, what).to.equal(whole);
        const hasSentEnd = runs.some(run => run.hasSentEnd);
        expect(hasSentEnd, `${what} was ended by a server`).to.equal(true);
      } else {
        const hasCompleted = runs.some(run => run.hasCompleted);
        expect(hasCompleted, `${what} was completed`).to.equal(false);
      }
      if (!isComplete && elapsedMs < deadlineMs - closeMs) {
        const hasBroken = runs.some(run => run.hasBroken);
        expect(hasBroken, `${what} has a broken run`).to.equal(true);
      }
      expect(
        runs.some(({isActive}) => isActive),
        what,
      ).to.equal(false);
    }
    expect(overlaps).to.deep.equal([]);
    const resumed = runsOf.filter(runs => runs.length > 1).length;
    expect(resumed).to.be.greaterThan(requestCount / 4);
  });
});
