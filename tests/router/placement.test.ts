import {expect} from 'chai';
import {SeededRandom} from '../../src/standins/seededRandom.js';
import {
  chooseEngine,
  choosePlainServer,
  type Candidate,
  type PromptRequest,
} from '../../src/router/placement.js';
import {addWork, sumBacklog} from '../../src/router/prefillBacklog.js';
import {computePauseWeight} from '../../src/router/promptLength.js';
import {ServerLoadTracker} from '../../src/router/serverLoads.js';

const noJitter = () => 0;
/** A request whose stream tolerates only the shortest pause of its service. */
const draft = {
  promptTokens: 600,
  targetMs: 400,
  maxPauseMs: 200,
  pauseWeight: 1,
} as const;

function buildCandidates(
  count: number,
  change: (index: number) => Partial<Candidate> = () => ({}),
): Candidate[] {
  return Array.from({length: count}, (_, index) => ({
    serverId: `engine-${index}`,
    key: index,
    isNear: true,
    zone: 'a',
    slots: 64,
    speed: 1,
    requests: 0,
    backlog: [],
    tightStreams: 0,
    failures: 0,
    answers: 0,
    slowness: 0,
    ...change(index),
  }));
}

function buildPromptRequest(
  change: Partial<PromptRequest> = {},
): PromptRequest {
  return {
    promptTokens: 9_000,
    cachedTokens: new Map(),
    copyableTokens: new Map(),
    bodyBytes: 1_000,
    failureCostMs: 250,
    targetMs: 500,
    waitedMs: 0,
    maxPauseMs: 1_000,
    shortestPauseMs: 200,
    pauseWeight: 0,
    rank: 5,
    residualWork: 0,
    slotTimeMs: 0,
    kvTransfer: {kvBytesPerToken: 18_432, kvLinkMbps: 280_000},
    prefillTokensPerMs: 50,
    shortPromptTokenLimit: 1_024,
    ...change,
  };
}

describe('placement on engines', () => {
  // The load of an engine is the number of prompt tokens that wait for prefill,
  // not the number of requests.
  it('should spread a burst of long prompts evenly', () => {
    const engines = buildCandidates(13).map(engine => ({...engine}));
    for (let i = 0; i < 130; i++) {
      const choice = chooseEngine(engines, buildPromptRequest(), noJitter)!;
      const chosen = engines.find(e => e.serverId === choice.serverId)!;
      chosen.backlog = addWork(chosen.backlog, 5, choice.prefillWork);
      chosen.requests += 1;
    }
    const loads = engines.map(engine => sumBacklog(engine.backlog));
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    expect(Math.max(...loads)).to.be.at.most(1.25 * mean);
  });

  it('should place long prompts on other engines than short ones while the load is low', () => {
    const engines = buildCandidates(13);
    const short = buildPromptRequest(draft);
    const random = new SeededRandom(3);
    const place = (request: PromptRequest) =>
      chooseEngine(engines, request, () => random.draw())!.serverId;
    const draws = Array.from({length: 50});
    const long = new Set(draws.map(() => place(buildPromptRequest())));
    const shared = draws.map(() => place(short)).filter(id => long.has(id));
    expect(shared).to.be.empty;
  });

  // Guards against a zone without reserved engines, whose short prompts would
  // all go to another zone.
  it('should reserve engines for short prompts in each zone', () => {
    const zones = ['a', 'b', 'c'];
    const engines = buildCandidates(12, index => ({zone: zones[index % 3]}));
    const short = buildPromptRequest(draft);
    for (const near of zones) {
      const view = engines.map(e => ({...e, isNear: e.zone === near}));
      const forShort = chooseEngine(view, short, noJitter)!;
      const forLong = chooseEngine(view, buildPromptRequest(), noJitter)!;
      const findZone = ({serverId}: {serverId: string}) =>
        view.find(e => e.serverId === serverId)!.zone;
      expect(findZone(forShort)).to.equal(near);
      expect(findZone(forLong)).to.equal(near);
      expect(forShort.serverId).not.to.equal(forLong.serverId);
    }
  });

  it('should reserve more engines the more short prompts there are', () => {
    const crowded = buildCandidates(10, index =>
      index >= 7 ? {requests: 32, tightStreams: 32} : {},
    );
    const short = buildPromptRequest(draft);
    const chosen = chooseEngine(crowded, short, noJitter)!;
    expect(chosen.serverId).to.equal('engine-6');
  });

  // Guards against all routers of a large fleet choosing the same engines: they
  // share one view until they learn of each other's placements.
  for (const [what, promptTokens] of [
    ['long', 9_000],
    ['short', 600],
  ] as const) {
    it(`should spread ${what} prompts that many routers place at the same moment`, () => {
      const engines = buildCandidates(98, () => ({slots: 16}));
      const random = new SeededRandom(5);
      const counts = new Map<string, number>();
      const request = buildPromptRequest({promptTokens});
      for (let i = 0; i < 100; i++) {
        const {serverId} = chooseEngine(engines, request, () => random.draw())!;
        counts.set(serverId, (counts.get(serverId) ?? 0) + 1);
      }
      expect(Math.max(...counts.values())).to.be.at.most(engines[0].slots);
      expect(counts.size).to.be.greaterThan(15);
    });
  }

  it('should keep short prompts away from engines with a prefill backlog', () => {
    const engines = buildCandidates(4, index => ({
      backlog: [index === 1 ? 0 : 20_000],
    }));
    const request = buildPromptRequest(draft);
    const choice = chooseEngine(engines, request, noJitter)!;
    expect(choice.serverId).to.equal('engine-1');
  });

  it('should keep long prompts away from engines with many streams', () => {
    const engines = buildCandidates(4, index => ({
      requests: 20,
      tightStreams: index === 3 ? 0 : 20,
    }));
    const choice = chooseEngine(engines, buildPromptRequest(), noJitter)!;
    expect(choice.serverId).to.equal('engine-3');
  });

  // Guards against a long prompt beside pause-sensitive streams whose own
  // prompts were too long to count as short: seven of them paused for 281 ms,
  // where 250 ms is on time, while engines whose streams tolerate 1,000 ms had
  // room.
  it('should keep long prompts away from streams that tolerate only short pauses', () => {
    const loads = new ServerLoadTracker();
    for (let i = 0; i < 4; i++) {
      const maxPauseMs = i === 2 ? 1_000 : 250;
      for (let n = 0; n < 7; n++) {
        loads
          .add(`engine-${i}`, {
            prefillWork: 2_600,
            rank: 5,
            pauseWeight: computePauseWeight(250, maxPauseMs),
          })
          .finishPrefill();
      }
    }
    const engines = buildCandidates(4, index => loads.get(`engine-${index}`));
    const request = buildPromptRequest({promptTokens: 17_000});
    const choice = chooseEngine(engines, request, noJitter)!;
    expect(choice.serverId).to.equal('engine-2');
  });

  // In a burst, engines that run streams of short prompts are the only ones
  // without a prefill backlog. One stream that becomes late is less than an
  // answer that is late and keeps an engine busy for a second.
  it('should use an engine with a stream when all others have a long backlog', () => {
    const engines = buildCandidates(4, index => ({
      requests: 10,
      tightStreams: index === 3 ? 1 : 0,
      backlog: [index === 3 ? 0 : 60_000],
    }));
    const choice = chooseEngine(engines, buildPromptRequest(), noJitter)!;
    expect(choice.serverId).to.equal('engine-3');
  });

  it('should not send a large body to another zone for a small wait', () => {
    const engines = buildCandidates(4, index => ({
      isNear: index === 0,
      backlog: [index === 0 ? 1_800 : 0],
    }));
    const request = buildPromptRequest({bodyBytes: 18_000});
    const choice = chooseEngine(engines, request, noJitter)!;
    expect(choice.serverId).to.equal('engine-0');
  });

  it('should prefer a short wait at the engine that holds a prompt over a copy', () => {
    const engines = buildCandidates(13, index => ({
      backlog: [index === 5 ? 2_500 : 0],
    }));
    const cachedTokens = new Map([[5, 6_000]]);
    const request = buildPromptRequest({
      cachedTokens,
      copyableTokens: cachedTokens,
    });
    const choice = chooseEngine(engines, request, noJitter)!;
    expect(choice.serverId).to.equal('engine-5');
    expect(choice.fetchFrom).to.equal(undefined);
  });

  it('should go to the engine that holds most of the prompt', () => {
    const cachedTokens = new Map([[5, 6_000]]);
    const choice = chooseEngine(
      buildCandidates(13),
      buildPromptRequest({cachedTokens}),
      noJitter,
    )!;
    expect(choice).to.deep.equal({
      serverId: 'engine-5',
      requests: 0,
      tightStreams: 0,
      unreadTokens: 3_000,
      prefillWork: 3_375,
      speed: 1,
      isShortPrompt: false,
      promptPrefillMs: 67.5,
      prefillEndMs: 67.5,
      backlogMs: 0,
      backlogWork: 0,
      slotWaitMs: 0,
      fetchFrom: undefined,
    });
  });

  it('should copy the cached part to another engine when its holder is loaded', () => {
    const engines = buildCandidates(13, index => ({
      backlog: [index === 5 ? 30_000 : 0],
    }));
    const cachedTokens = new Map([[5, 6_000]]);
    const request = buildPromptRequest({
      cachedTokens,
      copyableTokens: cachedTokens,
    });
    const choice = chooseEngine(engines, request, noJitter)!;
    expect(choice.serverId).not.to.equal('engine-5');
    expect(choice.fetchFrom).to.equal(5);
    expect(choice.unreadTokens).to.equal(3_000);
  });

  // Otherwise a part that is still being prefilled would be prefilled twice.
  it('should wait at an engine that is about to prefill the same part', () => {
    const engines = buildCandidates(13, index => ({
      backlog: [index === 5 ? 12_000 : 0],
    }));
    const cachedTokens = new Map([[5, 6_000]]);
    const choice = chooseEngine(
      engines,
      buildPromptRequest({cachedTokens}),
      noJitter,
    )!;
    expect(choice.serverId).to.equal('engine-5');
  });

  it('should pass over an engine that fails part of its requests', () => {
    const engines = buildCandidates(3, index => ({
      failures: index === 0 ? 4 : 0,
      answers: 4,
    }));
    const choice = chooseEngine(engines, buildPromptRequest(), noJitter)!;
    expect(choice.serverId).not.to.equal('engine-0');
  });

  it('should use a failing engine when all others are far more loaded', () => {
    const engines = buildCandidates(3, index => ({
      failures: index === 0 ? 4 : 0,
      answers: 4,
      backlog: [index === 0 ? 0 : 60_000],
    }));
    const choice = chooseEngine(engines, buildPromptRequest(), noJitter)!;
    expect(choice.serverId).to.equal('engine-0');
  });

  // A burst of dossiers on cold engines, beside drafts. Guards against a dossier
  // of 17,000 tokens on the engine of the drafts because the others have a
  // backlog that its target of 2 s leaves time for: it made eight drafts late.
  it('should let a dossier wait within its target and not pause drafts', () => {
    const engines = buildCandidates(6, index => ({
      tightStreams: index === 5 ? 8 : 0,
      backlog: index === 5 ? [] : [0, 0, 0, 0, 0, 40_000],
    }));
    const dossier = {promptTokens: 17_000, targetMs: 2_000};
    const choice = chooseEngine(
      engines,
      buildPromptRequest(dossier),
      noJitter,
    )!;
    expect(choice.serverId).not.to.equal('engine-5');
  });

  // The same burst. Guards against holding an urgent request for seconds because
  // of less urgent prompts, which the engine would have prefilled after it.
  it('should expect an urgent prompt to pass less urgent ones', () => {
    const engines = buildCandidates(1, () => ({
      backlog: [0, 0, 0, 0, 0, 90_000],
    }));
    const place = (rank: number) =>
      chooseEngine(
        engines,
        buildPromptRequest({rank, residualWork: 5_000}),
        noJitter,
      )!;
    expect(place(5).backlogMs).to.equal(1_800);
    expect(place(1).backlogMs).to.equal(100);
  });

  // A burst of drafts. Guards against one engine for all of them, which paused
  // them by their own prompts while its neighbours were idle.
  it('should give a burst of drafts a second engine', () => {
    const engines = buildCandidates(6).map(engine => ({...engine}));
    for (let i = 0; i < 40; i++) {
      const choice = chooseEngine(
        engines,
        buildPromptRequest(draft),
        noJitter,
      )!;
      const chosen = engines.find(e => e.serverId === choice.serverId)!;
      chosen.tightStreams += 1;
      chosen.requests += 1;
    }
    const counts = engines.map(({tightStreams}) => tightStreams);
    expect(Math.max(...counts)).to.be.at.most(20);
  });

  // An engine is lost. Guards against copies from it, for which prompts waited
  // four seconds.
  it('should not copy from an engine that takes no requests', () => {
    const cachedTokens = new Map([[9, 8_000]]);
    const request = buildPromptRequest({
      cachedTokens,
      copyableTokens: cachedTokens,
    });
    const choice = chooseEngine(buildCandidates(4), request, noJitter)!;
    expect(choice.fetchFrom).to.equal(undefined);
    expect(choice.unreadTokens).to.equal(9_000);
  });

  it('should choose faster engines more where backlogs are equal', () => {
    const engines = buildCandidates(6, index => ({
      speed: index % 2 === 0 ? 0.8 : 1.6,
      backlog: [0, 0, 0, 0, 0, 6_000],
    }));
    const random = new SeededRandom(4);
    const choices = Array.from({length: 100}, () =>
      chooseEngine(engines, buildPromptRequest(), () => random.draw()),
    );
    const fast = choices.filter(choice => choice?.speed === 1.6);
    expect(fast.length).to.be.greaterThan(75);
  });

  // Guards against fast engines with long queues beside idle slow ones.
  it('should spread prompts in proportion to speed at full load', () => {
    const engines = buildCandidates(6, index => ({
      speed: [0.5, 0.5, 1, 1, 2, 2][index],
    })).map(engine => ({...engine}));
    const request = buildPromptRequest();
    const random = new SeededRandom(5);
    const works = new Map(engines.map(engine => [engine.serverId, 0]));
    const tickMs = 10;
    const placedPerMs = 7 * request.prefillTokensPerMs;
    let owedWork = 0;
    for (let ms = 0; ms < 20_000; ms += tickMs) {
      for (const engine of engines) {
        const doneWork = tickMs * request.prefillTokensPerMs * engine.speed;
        const leftWork = sumBacklog(engine.backlog) - doneWork;
        engine.backlog = addWork([], 5, Math.max(0, leftWork));
      }
      owedWork += placedPerMs * tickMs;
      while (owedWork > 0) {
        const choice = chooseEngine(engines, request, () => random.draw())!;
        const {serverId, prefillWork} = choice;
        const chosen = engines.find(engine => engine.serverId === serverId)!;
        chosen.backlog = addWork(chosen.backlog, 5, prefillWork);
        works.set(serverId, works.get(serverId)! + prefillWork);
        owedWork -= prefillWork;
      }
    }
    const total = [...works.values()].reduce((sum, work) => sum + work, 0);
    for (const {serverId, speed} of engines) {
      const ratio = works.get(serverId)! / total / (speed / 7);
      expect(ratio, serverId).to.be.within(0.75, 1.25);
    }
  });

  it('should choose nothing without engines', () => {
    expect(chooseEngine([], buildPromptRequest(), noJitter)).to.equal(
      undefined,
    );
  });
});

describe('placement on plain servers', () => {
  const request = {serviceTimeMs: 80, failureCostMs: 300};

  it('should take free slots before making a request wait', () => {
    const servers = buildCandidates(3, index => ({
      slots: 2,
      requests: index === 2 ? 1 : 2,
    }));
    const chosen = choosePlainServer(servers, request, noJitter);
    expect(chosen?.serverId).to.equal('engine-2');
  });

  it('should avoid a slowed server while another is free', () => {
    const servers = buildCandidates(2, index => ({
      slots: 6,
      slowness: index === 0 ? 2.5 : 1,
      requests: index,
    }));
    const chosen = choosePlainServer(servers, request, noJitter);
    expect(chosen?.serverId).to.equal('engine-1');
  });

  // Guards against a fast server whose slots are all taken beside idle ones.
  it('should give a fast server more without taking all its slots', () => {
    const servers = buildCandidates(3, index => ({
      slots: 8,
      speed: [0.6, 1, 1.4][index],
    })).map(server => ({...server}));
    for (let i = 0; i < 12; i++) {
      const chosen = choosePlainServer(servers, request, noJitter)!;
      servers.find(({key}) => key === chosen.key)!.requests += 1;
    }
    const [slow, usual, fast] = servers.map(({requests}) => requests);
    expect(fast).to.be.within(usual + 1, 7);
    expect(slow).to.be.within(1, usual - 1);
  });

  it('should prefer the own zone among equals', () => {
    const servers = buildCandidates(3, index => ({isNear: index === 1}));
    const chosen = choosePlainServer(servers, request, noJitter);
    expect(chosen?.serverId).to.equal('engine-1');
  });
});
