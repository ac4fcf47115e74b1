/** Queue and slot leases of one backend server. */
import type {BackendServer, Configuration} from '../config/configuration.js';
import {
  LeaseEventKind,
  LeaseRefusal,
  type Acquire,
  type BackendServerView,
  type LeaseEvent,
} from '../protocol/leaseMessages.js';

/** A lease that isn't renewed for this time is dropped. */
export const leaseTimeoutMs = 10_000;

/** A running request, as the dispatcher knows it. */
export interface HeldLease {
  leaseId: string;
  requestId: string;
  gateway: string;
  className: string;
  customer: string;
  fingerprint?: string;
  tokens: number;
  renewedAtMs: number;
}

interface WaitingEntry {
  acquire: Acquire;
  resolve: (event: LeaseEvent) => void;
}

/** Grants the slots of one backend server. */
export class BackendServerQueue {
  private readonly leases = new Map<string, HeldLease>();
  private waiting: WaitingEntry[] = [];

  constructor(
    readonly id: string,
    private server: BackendServer,
    private configuration: Configuration,
  ) {}

  /** Takes a new configuration. */
  update(server: BackendServer, configuration: Configuration): void {
    this.server = server;
    this.configuration = configuration;
    this.grantWaiting();
  }

  /** Counts that answers carry to gateways. */
  getView(): BackendServerView {
    return {
      backendServer: this.id,
      freeSlots: this.server.slots - this.leases.size,
      queueLength: this.waiting.length,
      ejected: false,
    };
  }

  /** Waits for a slot; the events end with a grant or a refusal. */
  async *acquire(
    acquire: Acquire,
    signal: AbortSignal,
  ): AsyncGenerator<LeaseEvent> {
    if (this.hasFreeSlot()) {
      yield this.grant(acquire);
      return;
    }
    if (acquire.immediate) {
      yield this.buildRefusal(LeaseRefusal.Busy);
      return;
    }
    if (this.waiting.length >= this.configuration.maxQueueLength) {
      yield this.buildRefusal(LeaseRefusal.QueueFull);
      return;
    }
    const event = this.enqueue(acquire, signal);
    yield {
      kind: LeaseEventKind.Queued,
      position: this.waiting.length,
      expectedWaitMs: 0,
      view: this.getView(),
    };
    yield await event;
  }

  /** Ends a lease and grants its slot to the next. */
  release(leaseId: string): void {
    if (!this.leases.delete(leaseId)) return;
    this.grantWaiting();
  }

  /** Renews a lease, or adopts one that another dispatcher granted. */
  renew(lease: HeldLease): void {
    this.leases.set(lease.leaseId, lease);
  }

  /** Drops the leases that weren't renewed in time. */
  expireLeases(nowMs: number): void {
    for (const lease of [...this.leases.values()]) {
      if (nowMs - lease.renewedAtMs > leaseTimeoutMs) {
        this.leases.delete(lease.leaseId);
      }
    }
    this.grantWaiting();
  }

  /** Refuses all waiting work, e.g. because another dispatcher owns it now. */
  refuseWaiting(refusal: LeaseRefusal): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const entry of waiting) entry.resolve(this.buildRefusal(refusal));
  }

  /** State for the dump. */
  describe(): object {
    return {...this.getView(), leases: [...this.leases.values()]};
  }

  private hasFreeSlot(): boolean {
    return this.leases.size < this.server.slots;
  }

  private enqueue(acquire: Acquire, signal: AbortSignal): Promise<LeaseEvent> {
    return new Promise(resolve => {
      const entry: WaitingEntry = {acquire, resolve};
      this.waiting.push(entry);
      const remove = () => {
        this.waiting = this.waiting.filter(other => other !== entry);
        resolve(this.buildRefusal(LeaseRefusal.DeadlineExceeded));
      };
      signal.addEventListener('abort', remove, {once: true});
      setTimeout(remove, acquire.deadlineMs).unref();
    });
  }

  private grantWaiting(): void {
    while (this.hasFreeSlot()) {
      const next = this.waiting.shift();
      if (!next) return;
      next.resolve(this.grant(next.acquire));
    }
  }

  private grant(acquire: Acquire): LeaseEvent {
    const {leaseId, requestId, gateway, className, customer} = acquire;
    this.leases.set(leaseId, {
      leaseId,
      requestId,
      gateway,
      className,
      customer,
      fingerprint: acquire.fingerprint,
      tokens: 0,
      renewedAtMs: Date.now(),
    });
    return {
      kind: LeaseEventKind.Granted,
      address: this.server.address,
      priority: this.configuration.classes[className]?.tier ?? 0,
      view: this.getView(),
    };
  }

  private buildRefusal(refusal: LeaseRefusal): LeaseEvent {
    return {kind: LeaseEventKind.Refused, refusal, view: this.getView()};
  }
}
