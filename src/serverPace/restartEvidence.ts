/**
 * Evidence that a backend server has restarted under its id.
 *
 * A server that crashes may be back within 2 s, while its entry in the store is
 * up to 2 s old, so its clients know first: they can't connect, or lose a
 * connection during a request. The router that sees this tells all others. The
 * server counts as restarted until
 *
 * - its entry shows a later start, and then says how long it is cold;
 * - its entry shows the same start, and was read so late that the process wrote
 *   it after the evidence;
 * - a connection from before the evidence carries a further part of an answer,
 *   which shows that the process has gone on. The router that sees this tells all
 *   others, too: a server with more connections than it accepts loses some
 *   while others go on, and must not count as restarted for seconds; or
 * - a restarted process would be warm again.
 *
 * A reset of a connection that was idle is ordinary, and only weak evidence: it
 * isn't shared, and counts for a short time and not again soon.
 */
import {h32} from '../node/hashFunctions.js';

/** Kinds of evidence. */
export enum EvidenceKind {
  /** No connection to the server could be opened, or one was lost in use. */
  Strong = 'strong',
  /** A connection was reset that had been idle. */
  Weak = 'weak',
}

/**
 * An entry with the same start that is read this long after the evidence, in
 * milliseconds, was written after it: entries expire after 3.6 s, and a read may
 * be 2 s behind.
 */
const sameAfterMs = 5_600;
/** After a restart before the evidence, a read shows it after this time. */
const shownAfterMs = 2_000;
/** Weak evidence counts at most once in this time, in milliseconds. */
const weakIntervalMs = 10_000;
/**
 * A part of an answer that arrives this long after the evidence can't have been
 * under way before it, in milliseconds.
 */
const transitMs = 250;
/**
 * Evidence may come this much later than a restart, in milliseconds: a time-out
 * of a connection, 350 ms, and a notice that is under way for up to a second on
 * each of two hops. Connections that were opened in this time may lead to the
 * restarted process.
 */
const evidenceDelayMs = 2_400;
/** Evidence is shared again after this time, in milliseconds. */
const shareIntervalMs = 1_000;
/**
 * Notices have numbers, so that a repeated one differs from a new one. All are
 * used up in more than the time for which a notice is remembered.
 */
const noticeNumbers = 8;
/** A notice not seen for this long, in milliseconds, is a new one. */
const noticeMemoryMs = 5_000;

/** What a notice says about a process. */
enum NoticeTopic {
  Restarted = 'restarted',
  Same = 'same',
}

interface ProcessEvidence {
  /** When the process was last found restarted; -Infinity if never. */
  strongAtMs: number;
  weakAtMs: number;
  /** Only connections opened before can show that the process is the same. */
  sinceMs: number;
  /** Number of the latest notice of a restart. */
  number: number;
  sharedAtMs: number;
  /** When each notice was seen, by topic and number. */
  readonly seenAtMs: Map<string, number>;
}

/** State of the view of a process, for `isRestarted`. */
export interface ProcessView {
  readonly process: string;
  readonly hasStartTime: boolean;
  /** `performance.now()` of the newest read that listed the process. */
  readonly freshAtMs: number;
  /** Time for which a process is cold after its start, in milliseconds. */
  readonly coldMs: number;
}

/** Sends compact keys to all other routers. */
export interface NoticeChannel {
  /** Sends a key at once, and repeats it for a while. */
  readonly announce: (key: number) => void;
  /** Repeats a key in the next reports. */
  readonly repeat: (key: number) => void;
}

/** Keeps evidence by process; see `formatPacedProcess`. */
export class RestartEvidence {
  private readonly evidence = new Map<string, ProcessEvidence>();
  /** Ids of the servers of these processes. */
  private serverIds = new Set<string>();
  /** Notices about listed processes, by key. */
  private notices = new Map<number, [string, NoticeTopic, number]>();

  constructor(private readonly channel: NoticeChannel) {}

  /** True while there is no evidence against any process. */
  get isEmpty(): boolean {
    return this.evidence.size === 0;
  }

  /** True if there is or was evidence against a process of a server lately. */
  has(serverId: string): boolean {
    return this.serverIds.has(serverId);
  }

  /** Sets the processes about which notices are understood. */
  setProcesses(processes: readonly string[]): void {
    this.notices = new Map();
    for (const process of processes) {
      for (const topic of [NoticeTopic.Restarted, NoticeTopic.Same]) {
        for (let number = 0; number < noticeNumbers; number++) {
          const key = computeNoticeKey(process, topic, number);
          this.notices.set(key, [process, topic, number]);
        }
      }
    }
  }

  /** Records evidence that this router has seen. */
  record(process: string, kind: EvidenceKind): void {
    const nowMs = performance.now();
    const known = this.getEvidence(process);
    if (kind === EvidenceKind.Weak) {
      if (nowMs - known.weakAtMs >= weakIntervalMs) known.weakAtMs = nowMs;
      return;
    }
    setStrong(known);
    if (nowMs - known.sharedAtMs < shareIntervalMs) return;
    this.publishRestart(process, known);
  }

  /**
   * Records a part of an answer, which shows that the process has gone on if
   * its connection is older than the evidence.
   *
   * @param connectedAtMs - `performance.now()` when its connection was opened
   */
  recordLife(process: string, connectedAtMs: number): void {
    const known = this.evidence.get(process);
    if (!known) return;
    const nowMs = performance.now();
    const {strongAtMs, weakAtMs, sinceMs} = known;
    const isOlder = connectedAtMs < weakAtMs - evidenceDelayMs;
    if (isOlder && nowMs - weakAtMs > transitMs) {
      known.weakAtMs = Math.min(weakAtMs, nowMs - shownAfterMs);
    }
    if (strongAtMs === -Infinity || connectedAtMs >= sinceMs) return;
    if (nowMs - strongAtMs <= transitMs) return;
    known.strongAtMs = -Infinity;
    this.publish(process, known, NoticeTopic.Same);
  }

  /**
   * Handles a notice of another router.
   *
   * @returns true if it is new; undefined if it isn't about a listed process
   */
  recordNotice(key: number): boolean | undefined {
    const notice = this.notices.get(key);
    if (!notice) return undefined;
    const [process, topic, number] = notice;
    const nowMs = performance.now();
    const known = this.getEvidence(process);
    const seenAtMs = known.seenAtMs.get(`${topic}${number}`) ?? -Infinity;
    known.seenAtMs.set(`${topic}${number}`, nowMs);
    if (nowMs - seenAtMs < noticeMemoryMs) return false;
    switch (topic) {
      case NoticeTopic.Restarted:
        setStrong(known);
        known.sharedAtMs = nowMs;
        known.number = number;
        break;
      case NoticeTopic.Same:
        if (number !== known.number) break;
        if (known.strongAtMs - known.sharedAtMs < transitMs) {
          known.strongAtMs = -Infinity;
        } else {
          // Found since the shared evidence, to which the proof applies.
          this.publishRestart(process, known);
        }
        break;
    }
    return true;
  }

  /** True while the process may have been replaced by a cold one. */
  isRestarted({process, ...view}: ProcessView): boolean {
    const known = this.evidence.get(process);
    if (!known) return false;
    return (
      isValid(known.strongAtMs, sameAfterMs, view) ||
      isValid(known.weakAtMs, shownAfterMs, view)
    );
  }

  /** Repeats the evidence, for routers that have started since it was found. */
  repeat(): void {
    const sinceMs = performance.now() - sameAfterMs;
    for (const [process, {strongAtMs, number}] of this.evidence) {
      if (strongAtMs < sinceMs) continue;
      const topic = NoticeTopic.Restarted;
      this.channel.repeat(computeNoticeKey(process, topic, number));
    }
  }

  /**
   * Removes evidence that no longer counts. Evidence whose notices still arrive
   * is kept, since a notice that is forgotten would be learned again as new:
   * routers that learned it later than this one repeat it for longer.
   *
   * @param coldMs - longest time for which a process is cold
   */
  forgetOld(coldMs: number): void {
    const nowMs = performance.now();
    const sinceMs = nowMs - weakIntervalMs - coldMs;
    for (const [process, known] of this.evidence) {
      const {strongAtMs, weakAtMs, sharedAtMs, seenAtMs} = known;
      const lastAtMs = Math.max(strongAtMs, weakAtMs, sharedAtMs);
      const lastSeenAtMs = Math.max(-Infinity, ...seenAtMs.values());
      if (lastAtMs >= sinceMs || nowMs - lastSeenAtMs < noticeMemoryMs)
        continue;
      this.evidence.delete(process);
    }
    this.serverIds = new Set([...this.evidence.keys()].map(findServerId));
  }

  private publishRestart(process: string, evidence: ProcessEvidence): void {
    evidence.sharedAtMs = performance.now();
    evidence.number = (evidence.number + 1) % noticeNumbers;
    this.publish(process, evidence, NoticeTopic.Restarted);
  }

  private publish(
    process: string,
    {number, seenAtMs}: ProcessEvidence,
    topic: NoticeTopic,
  ): void {
    seenAtMs.set(`${topic}${number}`, performance.now());
    this.channel.announce(computeNoticeKey(process, topic, number));
  }

  private getEvidence(process: string): ProcessEvidence {
    let known = this.evidence.get(process);
    if (!known) {
      known = {
        strongAtMs: -Infinity,
        weakAtMs: -Infinity,
        sinceMs: -Infinity,
        number: 0,
        sharedAtMs: -Infinity,
        seenAtMs: new Map(),
      };
      this.evidence.set(process, known);
      this.serverIds.add(findServerId(process));
    }
    return known;
  }
}

/** Returns the id with which a formatted process begins. */
function findServerId(process: string): string {
  return process.slice(0, process.indexOf(' '));
}

function setStrong(evidence: ProcessEvidence): void {
  const nowMs = performance.now();
  if (evidence.strongAtMs === -Infinity) {
    evidence.sinceMs = nowMs - evidenceDelayMs;
  }
  evidence.strongAtMs = nowMs;
}

/** @param readAfterMs - time after which a read of the entry settles it */
function isValid(
  atMs: number,
  readAfterMs: number,
  {hasStartTime, freshAtMs, coldMs}: Omit<ProcessView, 'process'>,
): boolean {
  if (atMs === -Infinity) return false;
  if (hasStartTime && freshAtMs >= atMs + readAfterMs) return false;
  return performance.now() < atMs + readAfterMs + coldMs;
}

/** All routers must use the same prefixes. */
function computeNoticeKey(
  process: string,
  topic: NoticeTopic,
  number: number,
): number {
  return h32(`${topic} ${number} ${process}`);
}
