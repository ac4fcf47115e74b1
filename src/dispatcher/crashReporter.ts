/** Announces the requests that were in flight at crashes. */
import type {Log} from '../node/log.js';
import type {MemberService} from '../node/memberService.js';
import {suspectMarkLifetimeMs} from '../node/suspectRegistry.js';
import {BroadcastKind, type SuspectMark} from '../protocol/memberMessages.js';

/** Numbers the crashes that this dispatcher sees. */
export class CrashReporter {
  private crashes = 0;

  constructor(
    private readonly incarnation: string,
    private readonly members: Pick<MemberService, 'publish'>,
    private readonly log: Log,
  ) {}

  /** Marks the requests as suspects at all members. */
  reportCrash(backendServer: string, fingerprints: Iterable<string>): void {
    this.crashes += 1;
    const crashId = `${backendServer}/${this.incarnation}/${this.crashes}`;
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
