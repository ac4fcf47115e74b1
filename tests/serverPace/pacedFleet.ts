/** Routers before one backend server that crashes and returns under its id. */
import {EvidenceKind} from '../../src/serverPace/restartEvidence.js';
import type {
  ColdServerBounds,
  ColdStart,
  PacedServer,
} from '../../src/serverPace/pacedServer.js';
import {ServerPace} from '../../src/serverPace/serverPace.js';
import type {SeededRandom} from '../../src/standins/seededRandom.js';

/** Time without a report after which a router counts as silent. */
const aliveMs = 1_000;
const reportIntervalMs = 90;
const noticeRepeatMs = 1_500;
const readIntervalMs = 800;
const writeIntervalMs = 1_200;
const entryLifetimeMs = 3_600;
const seedCount = 3;
const serviceTimeMs = 200;
const maxTransitMs = 50;

/** What a random case chooses. */
export interface PacedFleetCase {
  readonly seed: number;
  readonly routers: number;
  readonly coldStart: ColdStart;
  readonly bounds: ColdServerBounds;
  /** Ratio of reports that are lost. */
  readonly lossRatio: number;
  readonly maxReportDelayMs: number;
  readonly maxStoreLagMs: number;
  /** Sides into which the fleet falls apart; 1 for none. */
  readonly sides: number;
  readonly partitionAtMs: number;
  /** Routers that restart, one after another. */
  readonly restarts: number;
  /** Routers that can't read the store from the partition on. */
  readonly cutOff: number;
  readonly crashAtMs: number;
  readonly downMs: number;
  /** Requests a second at each router that prefer the server. */
  readonly demandEach: number;
}

interface Entry {
  readonly server: PacedServer;
  readonly writtenAtMs: number;
}

interface FleetRouter {
  readonly host: string;
  readonly side: number;
  readonly isCutOff: boolean;
  pace: ServerPace;
  readonly heardAtMs: Map<string, number>;
  readonly noticesUntilMs: Map<number, number>;
  entry: Entry | undefined;
  readAtMs: number;
  nextReadAtMs: number;
  nextReportAtMs: number;
}

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** Runs in ticks of fake time; `advance` moves the clock. */
export class PacedFleet {
  /** When requests reached the server after its return. */
  readonly arrivalsAtMs: number[] = [];
  readonly returnedAtMs: number;
  private readonly startMs = performance.now();
  private readonly routers: FleetRouter[];
  private readonly entries: Entry[] = [];
  private readonly running: Array<{router: FleetRouter; sentAtMs: number}> = [];
  private events: Event[] = [];
  private nextWriteAtMs = 0;
  private hasCrashed = false;
  private startedAt = 1;
  private restarted = 0;

  constructor(
    private readonly options: PacedFleetCase,
    private readonly random: SeededRandom,
  ) {
    const {routers, sides, cutOff, crashAtMs, downMs} = options;
    this.returnedAtMs = crashAtMs + downMs;
    this.write();
    this.routers = Array.from({length: routers}, (_, index) =>
      this.buildRouter(`10.0.0.${index}`, index % sides, index < cutOff),
    );
  }

  private get nowMs(): number {
    return performance.now() - this.startMs;
  }

  /** Lets all that is due happen. */
  runTick(tickMs: number): void {
    this.runEvents();
    this.runServer();
    for (const router of this.routers) {
      this.read(router);
      this.report(router);
      router.pace.update(() => true);
    }
    this.restartSome();
    const due = (this.options.demandEach * tickMs) / 1_000;
    for (const router of this.routers) {
      if (this.random.draw() < due) this.send(router);
    }
  }

  /** Most requests in any second in which the server is cold. */
  findMostInSecond(): number {
    const {durationMs} = this.options.coldStart;
    const times = this.listColdArrivals(durationMs);
    return Math.max(
      0,
      ...times.map(
        start => times.filter(t => t >= start && t < start + 1_000).length,
      ),
    );
  }

  /** Requests within a time after the server's return, in order. */
  listColdArrivals(withinMs: number): number[] {
    return this.arrivalsAtMs
      .filter(atMs => atMs < this.returnedAtMs + withinMs)
      .sort((a, b) => a - b);
  }

  private buildRouter(
    host: string,
    side: number,
    isCutOff: boolean,
  ): FleetRouter {
    const router: FleetRouter = {
      host,
      side,
      isCutOff,
      heardAtMs: new Map(),
      noticesUntilMs: new Map(),
      entry: undefined,
      readAtMs: -Infinity,
      nextReadAtMs: this.draw(readIntervalMs),
      nextReportAtMs: this.draw(reportIntervalMs),
      pace: undefined as unknown as ServerPace,
    };
    router.pace = this.buildPace(router);
    return router;
  }

  private buildPace(router: FleetRouter): ServerPace {
    const {bounds, coldStart} = this.options;
    const repeat = (key: number) =>
      router.noticesUntilMs.set(key, this.nowMs + noticeRepeatMs);
    return new ServerPace({
      bounds,
      getColdStart: () => coldStart,
      measureViewAgeMs: () => this.nowMs - router.readAtMs,
      announce: repeat,
      repeat,
      viewSenders: () => ({
        host: router.host,
        isOffered: true,
        others: [...router.heardAtMs]
          .filter(([, atMs]) => this.nowMs - atMs <= aliveMs)
          .map(([host]) => host),
        retired: [],
        seeds: this.routers.slice(0, seedCount).map(({host}) => host),
      }),
    });
  }

  private draw(below: number): number {
    return this.random.draw() * below;
  }

  private schedule(delayMs: number, run: () => void): void {
    this.events.push({atMs: this.nowMs + delayMs, run});
  }

  private runEvents(): void {
    const due = this.events.filter(({atMs}) => atMs <= this.nowMs);
    this.events = this.events.filter(({atMs}) => atMs > this.nowMs);
    for (const {run} of due) run();
  }

  private get isDown(): boolean {
    const {crashAtMs} = this.options;
    return this.nowMs >= crashAtMs && this.nowMs < this.returnedAtMs;
  }

  private write(): void {
    const {durationMs} = this.options.coldStart;
    const isNew = this.startedAt > 1;
    const coldForMs = this.returnedAtMs + durationMs - this.nowMs;
    const server: PacedServer = {
      id: 'server-1',
      service: 'models',
      zone: 'a',
      host: '10.1.0.1',
      port: 80,
      startedAt: this.startedAt,
      warmUpMs: isNew ? Math.max(0, coldForMs) : 0,
    };
    this.entries.push({server, writtenAtMs: this.nowMs});
    this.nextWriteAtMs = this.nowMs + writeIntervalMs;
  }

  private runServer(): void {
    if (!this.hasCrashed && this.isDown) {
      this.hasCrashed = true;
      for (const {router, sentAtMs} of this.running) {
        if (this.nowMs - sentAtMs > serviceTimeMs) continue;
        this.schedule(this.draw(maxTransitMs), () => this.recordLoss(router));
      }
    }
    if (this.isDown) return;
    const isReturned = this.hasCrashed && this.startedAt === 1;
    if (isReturned) this.startedAt = 2;
    if (isReturned || this.nowMs >= this.nextWriteAtMs) this.write();
  }

  private recordLoss({pace, entry}: FleetRouter): void {
    if (entry) pace.recordEvidence(entry.server, EvidenceKind.Strong);
  }

  private get isPartitioned(): boolean {
    return this.nowMs >= this.options.partitionAtMs;
  }

  private read(router: FleetRouter): void {
    if (this.nowMs < router.nextReadAtMs) return;
    router.nextReadAtMs = this.nowMs + readIntervalMs;
    if (router.isCutOff && this.isPartitioned) return;
    const asOfMs = this.nowMs - this.draw(this.options.maxStoreLagMs);
    const newest = this.entries
      .filter(({writtenAtMs}) => writtenAtMs <= asOfMs)
      .at(-1);
    const known = router.entry ?? this.entries[0];
    const read =
      newest && newest.writtenAtMs > known.writtenAtMs ? newest : known;
    const isExpired = asOfMs - read.writtenAtMs > entryLifetimeMs;
    router.readAtMs = this.nowMs;
    router.entry = isExpired ? undefined : read;
    router.pace.recordRead(isExpired ? [] : [read.server], 0);
  }

  private report(router: FleetRouter): void {
    if (this.nowMs < router.nextReportAtMs) return;
    router.nextReportAtMs = this.nowMs + reportIntervalMs;
    const {lossRatio, maxReportDelayMs} = this.options;
    for (const [key, untilMs] of router.noticesUntilMs) {
      if (untilMs < this.nowMs) router.noticesUntilMs.delete(key);
    }
    const notices = [...router.noticesUntilMs.keys()];
    for (const other of this.routers) {
      if (other === router || this.draw(1) < lossRatio) continue;
      if (this.isPartitioned && other.side !== router.side) continue;
      this.schedule(this.draw(maxReportDelayMs), () => {
        other.heardAtMs.set(router.host, this.nowMs);
        for (const key of notices) other.pace.recordNotice(key);
      });
    }
  }

  /** Restarted routers know nothing of the fleet or the server. */
  private restartSome(): void {
    const {restarts, partitionAtMs} = this.options;
    if (this.restarted >= restarts) return;
    if (this.nowMs < partitionAtMs + this.restarted * 700) return;
    const router = this.routers[this.restarted % this.routers.length];
    this.restarted += 1;
    router.heardAtMs.clear();
    router.noticesUntilMs.clear();
    router.pace = this.buildPace(router);
    if (router.entry) {
      router.pace.recordRead(
        [router.entry.server],
        this.nowMs - router.readAtMs,
      );
    }
  }

  private send(router: FleetRouter): void {
    const {entry, pace} = router;
    if (!entry || pace.measureWaitMs(entry.server) > 0) return;
    pace.recordSend(entry.server);
    this.running.push({router, sentAtMs: this.nowMs});
    this.schedule(this.draw(maxTransitMs), () => {
      if (this.isDown) this.recordLoss(router);
      else if (this.hasCrashed) this.arrivalsAtMs.push(this.nowMs);
    });
  }
}
