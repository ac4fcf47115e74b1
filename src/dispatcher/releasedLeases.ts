/** Lease ids that were released and must not be granted or adopted again. */

/** Longer than any message about a lease can be on its way. */
const retentionMs = 60_000;
const maxRemembered = 10_000;

/** Remembers released lease ids for a while, oldest first. */
export class ReleasedLeases {
  private readonly releasedAtMs = new Map<string, number>();

  /** Remembers an id. */
  add(leaseId: string, nowMs: number): void {
    this.releasedAtMs.delete(leaseId);
    this.releasedAtMs.set(leaseId, nowMs);
    this.expire(nowMs);
  }

  /** True when the id was released a short time ago. */
  has(leaseId: string): boolean {
    return this.releasedAtMs.has(leaseId);
  }

  /** Forgets ids whose time is over. */
  expire(nowMs: number): void {
    for (const [leaseId, atMs] of this.releasedAtMs) {
      const expired = nowMs - atMs > retentionMs;
      if (!expired && this.releasedAtMs.size <= maxRemembered) return;
      this.releasedAtMs.delete(leaseId);
    }
  }
}
