/** Ejections of backend servers, as announced by all dispatchers. */
import {
  BackendServerKind,
  type BackendServer,
  type Configuration,
} from '../config/configuration.js';
import type {Broadcaster} from '../node/broadcaster.js';
import type {MemberService} from '../node/memberService.js';
import {BroadcastKind, type BroadcastItem} from '../protocol/memberMessages.js';

/** Ejections of more than this ratio of equivalent servers are ignored. */
const maxEjectedRatio = 1 / 3;
/** Bounds the memory used for servers that no longer exist. */
const maxServers = 20_000;

interface Announcement {
  ejected: boolean;
  atMs: number;
}

/**
 * Announces this dispatcher's ejections and holds the latest announcement of
 * each server.
 */
export class EjectionRegistry {
  private readonly announcements = new Map<string, Announcement>();

  constructor(
    broadcaster: Pick<Broadcaster, 'subscribe'>,
    private readonly members: Pick<MemberService, 'publish'>,
  ) {
    broadcaster.subscribe(item => this.handleItem(item));
  }

  /** Announces an ejection or its end to all members, if it is a change. */
  announce(backendServer: string, ejected: boolean): void {
    if (this.isEjected(backendServer) === ejected) return;
    const lastMs = this.announcements.get(backendServer)?.atMs ?? 0;
    const atMs = Math.max(Date.now(), lastMs + 1);
    const kind = BroadcastKind.BackendServerHealth;
    const item: BroadcastItem = {kind, backendServer, ejected, atMs};
    this.handleItem(item);
    this.members.publish(`health/${backendServer}`, item);
  }

  /** True if the server's latest announcement is an ejection. */
  isEjected(backendServer: string): boolean {
    return this.announcements.get(backendServer)?.ejected ?? false;
  }

  /**
   * True if so many equivalent servers are ejected that refusing work on all of
   * them would do more harm than the slow ones.
   */
  isIgnored(server: BackendServer, {backendServers}: Configuration): boolean {
    const equivalents = Object.entries(backendServers).filter(([, other]) =>
      isEquivalent(server, other),
    );
    const ejected = equivalents.filter(([id]) => this.isEjected(id));
    return ejected.length > equivalents.length * maxEjectedRatio;
  }

  private handleItem(item: BroadcastItem): void {
    if (item.kind !== BroadcastKind.BackendServerHealth) return;
    const {backendServer, ejected, atMs} = item;
    const known = this.announcements.get(backendServer);
    if (known && known.atMs >= atMs) return;
    if (this.announcements.size >= maxServers) this.announcements.clear();
    this.announcements.set(backendServer, {ejected, atMs});
  }
}

/**
 * True if both servers have a model in common, or run the same plain service.
 */
function isEquivalent(server: BackendServer, other: BackendServer): boolean {
  switch (server.kind) {
    case BackendServerKind.ModelEngine:
      return (
        other.kind === server.kind &&
        other.models.some(model => server.models.includes(model))
      );
    case BackendServerKind.PlainService:
      return other.kind === server.kind && other.service === server.service;
  }
}
