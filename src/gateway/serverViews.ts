/** What dispatchers last said of their backend servers. */
import type {BackendServerView} from '../protocol/leaseMessages.js';

/** A view older than this says nothing about the load any more. */
const viewLifeMs = 5_000;
/** A leaving server isn't asked again for this time. */
const leavingMarkLifeMs = 3_000;

interface NotedView {
  view: BackendServerView;
  notedAtMs: number;
}

/** Caches the views that lease events carry. */
export class ServerViews {
  private readonly views = new Map<string, NotedView>();
  private readonly leavingUntilMs = new Map<string, number>();

  /** Keeps what a dispatcher says. */
  note(view: BackendServerView): void {
    this.views.set(view.backendServer, {view, notedAtMs: performance.now()});
  }

  /** A slot was given back; the next one in the queue may have it. */
  noteRelease(backendServer: string): void {
    const noted = this.views.get(backendServer);
    if (!noted) return;
    const {freeSlots, queueLength} = noted.view;
    noted.view =
      queueLength > 0
        ? {...noted.view, queueLength: queueLength - 1}
        : {...noted.view, freeSlots: freeSlots + 1};
  }

  /** A dispatcher refused because the backend server is leaving. */
  noteLeaving(backendServer: string): void {
    const untilMs = performance.now() + leavingMarkLifeMs;
    this.leavingUntilMs.set(backendServer, untilMs);
  }

  /** True shortly after such a refusal. */
  isLeaving(backendServer: string): boolean {
    const untilMs = this.leavingUntilMs.get(backendServer);
    if (untilMs === undefined) return false;
    if (untilMs > performance.now()) return true;
    this.leavingUntilMs.delete(backendServer);
    return false;
  }

  /** Returns a view that isn't too old. */
  find(backendServer: string): BackendServerView | undefined {
    const noted = this.views.get(backendServer);
    if (!noted) return undefined;
    if (performance.now() - noted.notedAtMs <= viewLifeMs) return noted.view;
    this.views.delete(backendServer);
    return undefined;
  }

  /** Forgets everything, e.g. after the process was paused. */
  forget(): void {
    this.views.clear();
    this.leavingUntilMs.clear();
  }
}
