/** Order in which one request asks backend servers. */
import type {Configuration} from '../config/configuration.js';
import type {ServerViews} from './serverViews.js';

/** Marks on more than this part of the servers are ignored. */
const maxMarkedPart = 1 / 3;

export interface ChooserOptions {
  configuration: Configuration;
  views: ServerViews;
  /** All servers of the target. */
  servers: readonly string[];
  /** Servers to use, like unreachable ones, only when no other is left. */
  avoid: ReadonlySet<string>;
  /** True for servers that this gateway itself measures as slow. */
  isSlow: (backendServer: string) => boolean;
  /** Uniform in [0, 1). */
  random: () => number;
}

/**
 * Hands out each candidate once. Two of the remaining ones are sampled and the
 * better one is taken: with late views, always taking the best would send all
 * gateways to the same server.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001.
 */
export class CandidateChooser {
  /** True when so many servers are ejected that it says little. */
  readonly ignoresEjections: boolean;
  private readonly remaining: string[];
  private readonly lastChoice: string[];
  private readonly ignoresMarks: boolean;
  private first: string | undefined;

  constructor(private readonly options: ChooserOptions) {
    const {servers, avoid, views} = options;
    const present = servers.filter(id => !views.isLeaving(id));
    const isLast = (id: string) => avoid.has(id) || views.isUnreachable(id);
    this.remaining = present.filter(id => !isLast(id));
    this.lastChoice = present.filter(isLast);
    const maxMarked = servers.length * maxMarkedPart;
    const ejected = servers.filter(id => views.find(id)?.ejected);
    this.ignoresEjections = ejected.length > maxMarked;
    this.ignoresMarks = this.countMarked() > maxMarked;
  }

  /** Sets the candidate to hand out first, if it is there. */
  putFirst(id: string): void {
    this.first = id;
  }

  /**
   * True for servers that are slow, as far as is known. What this gateway
   * measures counts before the dispatchers' reports, which are later.
   */
  isMarked(id: string): boolean {
    if (this.ignoresMarks) return false;
    return this.hasMark(id);
  }

  /** Returns the next candidate; undefined when all were handed out. */
  take(): string | undefined {
    const {first} = this;
    this.first = undefined;
    if (first !== undefined) {
      const index = this.remaining.indexOf(first);
      if (index >= 0) return this.removeAt(this.remaining, index);
    }
    return this.sample(this.remaining) ?? this.sample(this.lastChoice);
  }

  /** Lets a candidate be handed out once more. */
  putBack(id: string): void {
    const {avoid, views} = this.options;
    const isLast = avoid.has(id) || views.isUnreachable(id);
    (isLast ? this.lastChoice : this.remaining).push(id);
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
    const oneIsMarked = this.isMarked(one);
    if (oneIsMarked !== this.isMarked(other)) return !oneIsMarked;
    return this.computeLoad(one) < this.computeLoad(other);
  }

  private hasMark(id: string): boolean {
    if (this.options.isSlow(id)) return true;
    return this.options.views.find(id)?.ejected ?? false;
  }

  private countMarked(): number {
    return this.options.servers.filter(id => this.hasMark(id)).length;
  }

  /** Work per slot; an unknown server counts as idle, so that it is asked. */
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

/** Requests running and waiting per slot; undefined without a view. */
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
