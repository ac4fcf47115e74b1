/** Chooses the order in which a request asks backend servers for a slot. */
import type {Configuration} from '../config/configuration.js';
import type {ServerViews} from './serverViews.js';

/**
 * When more than this ratio of the servers is slow or ejected, both are
 * ignored, so that a large part of the fleet does not go unused.
 */
const maxDegradedRatio = 1 / 3;

export interface ChooserOptions {
  configuration: Configuration;
  views: ServerViews;
  /** All servers of the target. */
  servers: readonly string[];
  /** Servers to ask only as a last resort, like unreachable ones. */
  avoid: ReadonlySet<string>;
  /** True for servers that are slow by this gateway's own measurements. */
  isSlow: (backendServer: string) => boolean;
  /** Returns a uniform random number in [0, 1). */
  random: () => number;
}

/**
 * Hands out each candidate once. Takes the better of two random candidates: the
 * views lag behind, so always taking the best one would send the requests of
 * all gateways to the same server.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001.
 */
export class CandidateChooser {
  /** True when too many servers are ejected for ejections to be respected. */
  readonly ignoresEjections: boolean;
  private readonly remaining: string[];
  private readonly lastResort: string[];
  private readonly ignoresDegradation: boolean;
  private first: string | undefined;

  constructor(private readonly options: ChooserOptions) {
    const {servers, avoid, views} = options;
    const present = servers.filter(id => !views.isLeaving(id));
    const isLastResort = (id: string) =>
      avoid.has(id) || views.isUnreachable(id);
    this.remaining = present.filter(id => !isLastResort(id));
    this.lastResort = present.filter(isLastResort);
    const maxDegraded = servers.length * maxDegradedRatio;
    const ejected = servers.filter(id => views.find(id)?.ejected);
    this.ignoresEjections = ejected.length > maxDegraded;
    this.ignoresDegradation = this.countDegraded() > maxDegraded;
  }

  /**
   * Sets the candidate to hand out first, if it is among the remaining ones.
   */
  putFirst(id: string): void {
    this.first = id;
  }

  /**
   * True for servers that are slow or ejected. The gateway's own measurements
   * come first, because the dispatchers' reports arrive later.
   */
  isDegraded(id: string): boolean {
    if (this.ignoresDegradation) return false;
    return this.isSlowOrEjected(id);
  }

  /** Returns the next candidate; undefined when all were handed out. */
  take(): string | undefined {
    const {first} = this;
    this.first = undefined;
    if (first !== undefined) {
      const index = this.remaining.indexOf(first);
      if (index >= 0) return this.removeAt(this.remaining, index);
    }
    return this.sample(this.remaining) ?? this.sample(this.lastResort);
  }

  /** Puts a candidate back, so that it can be handed out again. */
  putBack(id: string): void {
    const {avoid, views} = this.options;
    const isLastResort = avoid.has(id) || views.isUnreachable(id);
    (isLastResort ? this.lastResort : this.remaining).push(id);
  }

  private sample(pool: string[]): string | undefined {
    if (pool.length === 0) return undefined;
    const a = Math.floor(this.options.random() * pool.length);
    if (pool.length === 1) return this.removeAt(pool, a);
    const step = 1 + Math.floor(this.options.random() * (pool.length - 1));
    const b = (a + step) % pool.length;
    return this.removeAt(pool, this.isBetter(pool[b], pool[a]) ? b : a);
  }

  private isBetter(one: string, other: string): boolean {
    const oneIsDegraded = this.isDegraded(one);
    if (oneIsDegraded !== this.isDegraded(other)) return !oneIsDegraded;
    return this.computeLoad(one) < this.computeLoad(other);
  }

  private isSlowOrEjected(id: string): boolean {
    if (this.options.isSlow(id)) return true;
    return this.options.views.find(id)?.ejected ?? false;
  }

  private countDegraded(): number {
    return this.options.servers.filter(id => this.isSlowOrEjected(id)).length;
  }

  /**
   * Load per slot; a server without a view counts as idle, so that it is asked.
   */
  private computeLoad(id: string): number {
    const {configuration, views} = this.options;
    return computeServerLoad(configuration, views, id) ?? 0;
  }

  private removeAt(pool: string[], index: number): string {
    const id = pool[index];
    const last = pool.pop();
    if (index < pool.length && last !== undefined) pool[index] = last;
    return id;
  }
}

/** Running and queued requests per slot; undefined without a view. */
export function computeServerLoad(
  configuration: Configuration,
  views: ServerViews,
  id: string,
): number | undefined {
  const view = views.find(id);
  const slots = configuration.backendServers[id]?.slots;
  if (!view || slots === undefined) return undefined;
  return (slots - view.freeSlots + view.queueLength) / slots;
}
