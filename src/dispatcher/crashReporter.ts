/** Announces crashes and the requests that were in flight at them. */
import type {Log} from '../node/log.js';
import type {MemberService} from '../node/memberService.js';
import {suspectMarkLifetimeMs} from '../node/suspectRegistry.js';
import {BroadcastKind, type SuspectMark} from '../protocol/memberMessages.js';

/** Broadcasts suspect marks, with an id for each crash. */
export class CrashReporter {
  private crashCount = 0;

  constructor(
    private readonly incarnation: string,
    private readonly members: Pick<MemberService, 'publish'>,
    private readonly log: Log,
  ) {}

  /** Reports a crash; all members mark the requests as suspects. */
  reportCrash(backendServer: string, fingerprints: Iterable<string>): void {
    this.crashCount += 1;
    const crashId = `${backendServer}/${this.incarnation}/${this.crashCount}`;
    const marks: SuspectMark[] = [...new Set(fingerprints)].map(
      fingerprint => ({
        fingerprint,
        crashId,
        remainingMs: suspectMarkLifetimeMs,
      }),
    );
    this.log.warn('backend server crashed', {
      backendServer,
      crashId,
      suspects: marks.length,
    });
    if (marks.length === 0) return;
    const kind = BroadcastKind.SuspectMarks;
    this.members.publish(`suspects/${crashId}`, {kind, marks});
  }
}
