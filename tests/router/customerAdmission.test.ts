import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {CustomerShares} from '../../src/customerShares/customerShares.js';
import {WaitCause} from '../../src/customerShares/usageLedger.js';
import {FleetTotals} from '../../src/fleetTotals/fleetTotals.js';
import type {ForwardedRequest} from '../../src/router/forwardedRequest.js';
import {HoldQueues} from '../../src/router/holdQueue.js';
import {AdmissionDecision} from '../../src/router/promptAdmission.js';
import {RequestAdmission} from '../../src/router/requestAdmission.js';
import {BreakCause} from '../../src/router/breakCause.js';
import {RequestFailure} from '../../src/router/requestFailure.js';
import {ServerOutcomes} from '../../src/router/serverOutcomes.js';
import {RequestShare} from '../../src/router/requestShare.js';
import type {Selection} from '../../src/router/selection.js';
import {ServerSelector} from '../../src/router/serverSelector.js';
import {buildRoute, sampleServer} from './routerFixture.js';

const service = 'shop';
const history = {mayHaveRun: false, hasEvents: false};
/** An engine that begins the prompt soon, but not at once. */
const promptSelection: Selection = {
  server: sampleServer,
  unreadTokens: 4_000,
  prefillWork: 4_000,
  speed: 1,
  promptPrefillMs: 100,
  isShortPrompt: false,
  expectedMs: 181,
  backlogMs: 61,
  backlogWork: 0,
  slotWaitMs: 0,
  serverRequests: 2,
  tightStreams: 0,
  pauseWeight: 0,
};

describe('admission with shares of customers', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['performance', 'setInterval', 'clearInterval'],
    });
  });

  afterEach(() => clock.uninstall());

  function buildShares(customers: readonly string[]): CustomerShares {
    const totals = new FleetTotals({usesRelays: () => false});
    const shares = new CustomerShares({totals, reportChange: () => {}});
    shares.setCustomers(customers);
    return shares;
  }

  function admit(
    shares: CustomerShares,
    customer: string,
    isEngine = true,
    queues = new HoldQueues(shares),
  ): RequestAdmission {
    const selector: Partial<ServerSelector> = {
      estimatePrefillMs: ({prefillWork}) => prefillWork / 40,
      getSlotTimeMs: () => 2_000,
      getServiceTimeMs: () => 80,
    };
    const exchange = {
      startedAtMs: performance.now(),
      request: {promptParts: isEngine ? [{id: 'p'}] : []},
      signal: new AbortController().signal,
    };
    const route = buildRoute({targetMs: 300});
    const request = {
      exchange,
      route,
      service,
      urgency: 1,
      customer,
    } as unknown as ForwardedRequest;
    const options = {shares, selector: selector as ServerSelector};
    const share = new RequestShare(options, request);
    return new RequestAdmission(request, queues.get(service), 3_000, share);
  }

  /** Lets one customer use the servers, and refuses a request of another. */
  function useServers(shares: CustomerShares): void {
    const claim = {service, tier: 1, customer: 'museum'};
    for (let i = 0; i < 40; i++) shares.recordSend(claim, 100);
    const other = {...claim, customer: 'library'};
    shares.recordRefusal(other, WaitCause.Capacity, 600);
    clock.tick(50);
  }

  // Guards against refusing a request at once because those of a customer beyond
  // its share fill the queue, when it is the first in a while to lack room.
  it('should not count waiting requests beyond a share against one within', () => {
    const shares = buildShares(['museum', 'library']);
    const queues = new HoldQueues(shares);
    const claim = {service, tier: 1, customer: 'museum'};
    for (let i = 0; i < 40; i++) shares.recordSend(claim, 100);
    for (let passedMs = 0; passedMs < 1_500; passedMs += 50) {
      const latestAtMs = performance.now() + 200;
      const held = {rank: 1, latestAtMs, customer: 'museum'};
      const queue = queues.get(service);
      for (let i = 0; i < 10; i++) {
        void queue.wait(held, new AbortController().signal);
      }
      clock.tick(50);
    }
    const busy = {...promptSelection, backlogMs: 300, expectedMs: 420};
    const decide = (customer: string) =>
      admit(shares, customer, true, queues).decide(busy, history);
    expect(decide('museum')).to.equal('refuse');
    expect(decide('library')).to.equal('hold');
  });

  // Load: one customer sends far more than the others while engines are busy.
  // Guards against requests within a share that wait beside others beyond theirs.
  it('should hold the prompts of a customer beyond its share, and no others', () => {
    const shares = buildShares(['museum', 'library']);
    useServers(shares);
    const beyond = admit(shares, 'museum');
    const within = admit(shares, 'library');
    expect(beyond.decide(promptSelection, history)).to.equal('hold');
    expect(within.decide(promptSelection, history)).to.equal('onTime');
    // A plain server is no exception.
    const plain = {
      ...promptSelection,
      isShortPrompt: true,
      prefillWork: 0,
      backlogMs: 0,
      serverRequests: sampleServer.slots,
    };
    const request = admit(shares, 'museum', false);
    expect(request.decide(plain, history)).to.equal('hold');
    // Guards against holding requests for customers that lack nothing any more.
    clock.tick(300);
    const later = admit(shares, 'museum');
    expect(later.decide(promptSelection, history)).to.equal('onTime');
  });

  // Guards against servers with free slots that stay idle for the sake of shares,
  // and against a request that takes such a slot before one within its share.
  it('should leave servers with room to a customer beyond its share', async () => {
    const shares = buildShares(['museum', 'library']);
    useServers(shares);
    const {slots} = sampleServer;
    const free = {...promptSelection, backlogMs: 60, serverRequests: slots - 1};
    const plain = {...free, isShortPrompt: true, prefillWork: 0, backlogMs: 0};
    const decide = (selection: Selection, isEngine: boolean) =>
      admit(shares, 'museum', isEngine, queues).decide(selection, history);
    const queues = new HoldQueues(shares);
    expect(decide(free, true)).to.equal('onTime');
    expect(decide(plain, false)).to.equal('onTime');
    expect(decide({...free, serverRequests: slots}, true)).to.equal('hold');
    expect(decide({...free, backlogMs: 61}, true)).to.equal('hold');
    expect(decide({...free, slotWaitMs: 61}, true)).to.equal('hold');
    const caller = new AbortController();
    const hold = (rank: number, customer: string) => {
      const held = {rank, latestAtMs: 300, customer};
      return queues.get(service).wait(held, caller.signal);
    };
    const waits = [hold(1, 'museum'), hold(2, 'library')];
    expect(decide(free, true)).to.equal('onTime');
    waits.push(hold(1, 'library'));
    expect(decide(free, true)).to.equal('hold');
    expect(decide(plain, false)).to.equal('hold');
    caller.abort();
    await Promise.all(waits);
    expect(decide(free, true)).to.equal('onTime');
  });

  // Guards against callers that come back while their customer is still beyond
  // its share, and against a time that is unrelated to it.
  it('should tell the caller when its customer will be within its share', () => {
    const shares = buildShares(['museum', 'library']);
    useServers(shares);
    const request = admit(shares, 'museum');
    clock.tick(240);
    shares.recordRefusal(
      {service, tier: 1, customer: 'library'},
      WaitCause.Capacity,
      600,
    );
    clock.tick(60);
    expect(request.decide(promptSelection, history)).to.equal('refuse');
    const [usageMs, limitMs] = [4_000, 4_000 - 1_200];
    const withinMs = 2_000 * Math.log(usageMs / limitMs);
    const returnMs = request.estimateReturnMs(promptSelection);
    expect(returnMs).to.be.within(withinMs * 0.8, withinMs * 1.2 + 400);
    expect(shares.listRefusals(WaitCause.Share)).to.deep.include(['museum', 1]);
  });

  // Guards against shares that apply because requests fail for another cause
  // than a lack of room, and don't where servers turn requests away.
  it('should count a request without a server only for lack of room', () => {
    const servers = ['a', 'b'].map(zone => ({...sampleServer, id: zone, zone}));
    const countRefusals = (
      cause: BreakCause,
      change: (outcomes: ServerOutcomes) => void,
      limit?: number,
    ) => {
      const shares = buildShares(['museum', 'library']);
      const outcomes = new ServerOutcomes();
      change(outcomes);
      const selector = new ServerSelector({
        outcomes,
        deployments: {watch: () => {}},
        directory: {listUsable: () => servers},
        evacuations: {isEvacuated: (zone: string) => zone === 'b'},
        limits: {isEmpty: true, getPerSecond: () => limit},
        pace: {hasCold: () => false, getPerSecond: () => Infinity},
      } as unknown as ConstructorParameters<typeof ServerSelector>[0]);
      const request = {
        exchange: {request: {promptParts: []}, refuse: () => {}},
        service,
        urgency: 1,
        customer: 'museum',
      } as unknown as ForwardedRequest;
      const failure = new RequestFailure({
        request,
        selector,
        share: new RequestShare({shares, selector}, request),
        log: {recordRefusal: () => {}},
        budget: {describe: () => 1},
      } as unknown as ConstructorParameters<typeof RequestFailure>[0]);
      failure.failWithoutServer(cause, false);
      return shares.listRefusals(WaitCause.Capacity).length;
    };
    const fill = (outcomes: ServerOutcomes) => outcomes.recordBackoff('a', 500);
    const {NoServerLeft, Deadline, SendLimit, RetryBudget} = BreakCause;
    expect(countRefusals(NoServerLeft, fill)).to.equal(1);
    const reject = (outcomes: ServerOutcomes) => outcomes.recordUnwilling('a');
    expect(countRefusals(NoServerLeft, reject)).to.equal(1);
    expect(countRefusals(NoServerLeft, () => {}, 5)).to.equal(1);
    for (const cause of [Deadline, SendLimit, RetryBudget]) {
      expect(countRefusals(cause, fill)).to.equal(0);
    }
    const lose = (outcomes: ServerOutcomes) => outcomes.recordUnreachable('a');
    expect(countRefusals(NoServerLeft, lose)).to.equal(0);
    // Zone b is evacuated.
    const fillOther = (outcomes: ServerOutcomes) =>
      outcomes.recordBackoff('b', 500);
    expect(countRefusals(NoServerLeft, fillOther)).to.equal(0);
  });

  // Guards against any decision that shares change while capacity isn't short,
  // or where fewer than two customers are configured.
  it('should decide as without shares while no request lacks room', () => {
    const time = fc.integer({min: 0, max: 900});
    const selection = fc.record({
      expectedMs: time,
      backlogMs: time,
      slotWaitMs: fc.constantFrom(0, 200),
      isShortPrompt: fc.boolean(),
      waitedMs: time,
      isEngine: fc.boolean(),
      mayHaveRun: fc.boolean(),
    });
    fc.assert(
      fc.property(selection, ({waitedMs, isEngine, mayHaveRun, ...part}) => {
        const lists = [[], ['museum'], ['museum', 'library']];
        const decisions = lists.map(customers => {
          const shares = buildShares(customers);
          const claim = {service, tier: 1, customer: 'museum'};
          for (let i = 0; i < 40; i++) shares.recordSend(claim, 100);
          if (customers.length < 2) {
            const other = {...claim, customer: 'library'};
            shares.recordRefusal(other, WaitCause.Capacity, 600);
          }
          const admission = admit(shares, 'museum', isEngine);
          clock.tick(waitedMs);
          const selected = {...promptSelection, ...part};
          return admission.decide(selected, {mayHaveRun, hasEvents: false});
        });
        expect(new Set(decisions).size).to.equal(1);
        expect(Object.values(AdmissionDecision)).to.include(decisions[0]);
      }),
      {numRuns: 200, seed: 7},
    );
  });
});
