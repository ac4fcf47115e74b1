/**
 * Services whose servers forget connections that rested. Answers the pattern of
 * servers that end idle connections sooner than they say: a request that may run
 * once only is lost on such a connection, because a reset doesn't prove that it
 * hasn't run, while new connections for all of them are dear on every other day.
 */
import {computeKey} from './compactKey.js';
import {Notice, type SharedNotices} from './sharedNotices.js';

/**
 * Time for which a service isn't trusted after the first sign, in milliseconds;
 * long against a passing trouble.
 */
const firstDistrustMs = 10_000;
/** A sign soon after the last distrust doubles the next, up to this one. */
const longestDistrustMs = 600_000;

interface Distrust {
  sinceMs: number;
  lengthMs: number;
}

/**
 * Remembers which services must not get requests that may run once only on
 * connections that rested, at all routers.
 *
 * @example
 * if (isForgotten(attempt)) forgetful.record(service);
 * const reuse = forgetful.isTrusted(service) ? Reuse.Newest : Reuse.Fresh;
 */
export class ForgetfulServices {
  private readonly distrusts = new Map<number, Distrust>();

  /** @param listServices - names of the services in force */
  constructor(
    private readonly notices: SharedNotices,
    private readonly listServices: () => readonly string[],
  ) {
    notices.watch(key => this.recordPeer(key));
  }

  /** A kept connection was reset by the first packet of a request. */
  record(service: string): void {
    const key = computeNoticeKey(service);
    const known = this.distrusts.get(key);
    // Requests that may repeat go on to try kept connections meanwhile.
    if (known && isCurrent(known)) known.sinceMs = performance.now();
    else this.begin(key);
    this.notices.announce(key);
  }

  /** False while kept connections of the service may be dead. */
  isTrusted(service: string): boolean {
    const known = this.distrusts.get(computeNoticeKey(service));
    return known === undefined || !isCurrent(known);
  }

  /** Services that aren't trusted now, for the dump. */
  list(): string[] {
    return this.listServices().filter(service => !this.isTrusted(service));
  }

  private recordPeer(key: number): Notice {
    const isService = this.listServices().some(
      service => computeNoticeKey(service) === key,
    );
    if (!isService) return Notice.Foreign;
    const known = this.distrusts.get(key);
    // Each notice is repeated for a while.
    if (known && isCurrent(known)) return Notice.Known;
    this.begin(key);
    return Notice.News;
  }

  private begin(key: number): void {
    const sinceMs = performance.now();
    const known = this.distrusts.get(key);
    const isAgain =
      known !== undefined && sinceMs - known.sinceMs < 2 * known.lengthMs;
    const lengthMs = isAgain
      ? Math.min(longestDistrustMs, known.lengthMs * 2)
      : firstDistrustMs;
    this.distrusts.set(key, {sinceMs, lengthMs});
  }
}

function isCurrent({sinceMs, lengthMs}: Distrust): boolean {
  return performance.now() - sinceMs < lengthMs;
}

function computeNoticeKey(service: string): number {
  return computeKey(`forgetful ${service}`);
}
