/** What dispatchers last said of their backend servers. */
import type {BackendServerView} from '../protocol/leaseMessages.js';

/** A view older than this says nothing about the load any more. */
const viewLifeMs = 5_000;
/** A leaving server isn't asked again for this time. */
const leavingMarkLifeMs = 3_000;
/** A server that refused a connection is passed over for this time. */
const unreachableMarkLifeMs = 2_000;

interface NotedView {
  view: BackendServerView;
  notedAtMs: number;
}

/** Caches the views that lease events carry. */
export class ServerViews {
  private readonly views = new Map<string, NotedView>();
  private readonly leavingUntilMs = new Map<string, number>();
  private readonly unreachableUntilMs = new Map<string, number>();

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

  /** This gateway could not connect to the backend server. */
  noteUnreachable(backendServer: string): void {
    const untilMs = performance.now() + unreachableMarkLifeMs;
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
