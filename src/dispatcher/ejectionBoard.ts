/** Ejected backend servers, as all dispatchers announce them. */
import {
  BackendServerKind,
  type BackendServer,
  type Configuration,
} from '../config/configuration.js';
import type {Broadcaster} from '../node/broadcaster.js';
import type {MemberService} from '../node/memberService.js';
import {BroadcastKind, type BroadcastItem} from '../protocol/memberMessages.js';

/** Ejections are ignored when they cover more than this part of the servers. */
const maxEjectedPart = 1 / 3;
/** Ids of servers that are gone must not add up. */
const maxServers = 20_000;

interface Announcement {
  ejected: boolean;
  atMs: number;
}

/** Announces own ejections and holds the newest announcement per server. */
export class EjectionBoard {
  private readonly announcements = new Map<string, Announcement>();

  constructor(
    broadcaster: Pick<Broadcaster, 'subscribe'>,
    private readonly members: Pick<MemberService, 'publish'>,
  ) {
    broadcaster.subscribe(item => this.handleItem(item));
  }

  /** Tells all members of an ejection or of its end, if that is news. */
  announce(backendServer: string, ejected: boolean): void {
    if (this.isEjected(backendServer) === ejected) return;
    const lastMs = this.announcements.get(backendServer)?.atMs ?? 0;
    const atMs = Math.max(Date.now(), lastMs + 1);
    const kind = BroadcastKind.BackendServerHealth;
    const item: BroadcastItem = {kind, backendServer, ejected, atMs};
    this.handleItem(item);
    this.members.publish(`health/${backendServer}`, item);
  }

  /** True when the newest announcement says so. */
  isEjected(backendServer: string): boolean {
    return this.announcements.get(backendServer)?.ejected ?? false;
  }

  /**
   * True when ejections cover so many servers with the same work that refusing
   * on all of them would do more harm than the slow ones.
   */
  isIgnored(server: BackendServer, {backendServers}: Configuration): boolean {
    const alike = Object.entries(backendServers).filter(([, other]) =>
      isAlike(server, other),
    );
    const ejected = alike.filter(([id]) => this.isEjected(id));
    return ejected.length > alike.length * maxEjectedPart;
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

/** True when two servers do the same work. */
function isAlike(server: BackendServer, other: BackendServer): boolean {
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
