/** Cache of the dispatchers' latest views of their backend servers. */
import type {BackendServerView} from '../protocol/leaseMessages.js';

/** Age above which a view is outdated. */
const viewMaxAgeMs = 5_000;
/** Time for which a leaving server is not asked again. */
const leavingMarkTtlMs = 3_000;
/** Time for which a server that refused a connection is only a last resort. */
const unreachableMarkTtlMs = 2_000;

interface CachedView {
  view: BackendServerView;
  receivedAtMs: number;
}

/** Caches the views that lease events carry. */
export class ServerViews {
  private readonly views = new Map<string, CachedView>();
  private readonly leavingUntilMs = new Map<string, number>();
  private readonly unreachableUntilMs = new Map<string, number>();

  /** Stores a view from a dispatcher. */
  update(view: BackendServerView): void {
    this.views.set(view.backendServer, {view, receivedAtMs: performance.now()});
  }

  /** A slot was released; it goes to the next request in the queue, if any. */
  noteRelease(backendServer: string): void {
    const cached = this.views.get(backendServer);
    if (!cached) return;
    const {freeSlots, queueLength} = cached.view;
    cached.view =
      queueLength > 0
        ? {...cached.view, queueLength: queueLength - 1}
        : {...cached.view, freeSlots: freeSlots + 1};
  }

  /** A dispatcher refused because the backend server is leaving. */
  noteLeaving(backendServer: string): void {
    const untilMs = performance.now() + leavingMarkTtlMs;
    this.leavingUntilMs.set(backendServer, untilMs);
  }

  /** This gateway could not connect to the backend server. */
  noteUnreachable(backendServer: string): void {
    const untilMs = performance.now() + unreachableMarkTtlMs;
    this.unreachableUntilMs.set(backendServer, untilMs);
  }

  /** True shortly after a refusal because the server is leaving. */
  isLeaving(backendServer: string): boolean {
    return isMarked(this.leavingUntilMs, backendServer);
  }

  /** True shortly after a connection to the server failed. */
  isUnreachable(backendServer: string): boolean {
    return isMarked(this.unreachableUntilMs, backendServer);
  }

  /** Returns the view, unless it is outdated. */
  find(backendServer: string): BackendServerView | undefined {
    const cached = this.views.get(backendServer);
    if (!cached) return undefined;
    if (performance.now() - cached.receivedAtMs <= viewMaxAgeMs)
      return cached.view;
    this.views.delete(backendServer);
    return undefined;
  }

  /** Forgets all views and marks, e.g. after the process was paused. */
  clear(): void {
    this.views.clear();
    this.leavingUntilMs.clear();
    this.unreachableUntilMs.clear();
  }
}

function isMarked(untilMs: Map<string, number>, id: string): boolean {
  const endAtMs = untilMs.get(id);
  if (endAtMs === undefined) return false;
  if (endAtMs > performance.now()) return true;
  untilMs.delete(id);
  return false;
}
