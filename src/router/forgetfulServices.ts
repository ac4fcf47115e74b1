/**
 * Services whose servers drop idle connections earlier than announced. The
 * first request on a dropped connection is reset, and the reset does not prove
 * that the request has not run; a request that must run at most once is then
 * lost. Always opening new connections for such requests is too expensive, so
 * reuse is suspended only for services on which a reset was observed.
 */
import {computeCompactKey} from './compactKey.js';
import {NoticeResult, type SharedNotices} from './sharedNotices.js';

/** Suspension after the first reset; long compared with a transient fault. */
const initialSuspensionMs = 10_000;
/** A reset soon after a suspension doubles the next one, up to this limit. */
const maxSuspensionMs = 600_000;

interface ReuseSuspension {
  renewedAtMs: number;
  durationMs: number;
}

/**
 * Suspends the reuse of idle connections, per service, for requests that must
 * run at most once. All routers share the suspensions.
 *
 * @example
 * if (isStaleConnection(attempt)) suspensions.record(service);
 * const canReuse = suspensions.canReuseIdle(service);
 */
export class IdleReuseSuspensions {
  private readonly suspensions = new Map<number, ReuseSuspension>();

  /** @param listServices - names of the services in the current deployment */
  constructor(
    private readonly notices: SharedNotices,
    private readonly listServices: () => readonly string[],
  ) {
    notices.watch(key => this.recordPeer(key));
  }

  /** Records that a request was reset on an idle connection. */
  record(service: string): void {
    const key = computeNoticeKey(service);
    const known = this.suspensions.get(key);
    // Idempotent requests keep reusing idle connections during a suspension, so
    // further resets extend it without doubling it.
    if (known && isActive(known)) known.renewedAtMs = performance.now();
    else this.beginSuspension(key);
    this.notices.announce(key);
  }

  /** Returns false while idle connections of the service may be dead. */
  canReuseIdle(service: string): boolean {
    const known = this.suspensions.get(computeNoticeKey(service));
    return known === undefined || !isActive(known);
  }

  /** Lists the services with a suspension in force, for the dump. */
  list(): string[] {
    return this.listServices().filter(service => !this.canReuseIdle(service));
  }

  private recordPeer(key: number): NoticeResult {
    const isService = this.listServices().some(
      service => computeNoticeKey(service) === key,
    );
    if (!isService) return NoticeResult.Unrecognised;
    const known = this.suspensions.get(key);
    // Each notice is sent several times.
    if (known && isActive(known)) return NoticeResult.Known;
    this.beginSuspension(key);
    return NoticeResult.New;
  }

  private beginSuspension(key: number): void {
    const renewedAtMs = performance.now();
    const known = this.suspensions.get(key);
    const isRepeated =
      known !== undefined &&
      renewedAtMs - known.renewedAtMs < 2 * known.durationMs;
    const durationMs = isRepeated
      ? Math.min(maxSuspensionMs, known.durationMs * 2)
      : initialSuspensionMs;
    this.suspensions.set(key, {renewedAtMs, durationMs});
  }
}

function isActive({renewedAtMs, durationMs}: ReuseSuspension): boolean {
  return performance.now() - renewedAtMs < durationMs;
}

/** All routers must use the same prefix. */
function computeNoticeKey(service: string): number {
  return computeCompactKey(`forgetful ${service}`);
}
