/** Lease ids that were released and must not be granted or adopted again. */

/** Longer than any message about a lease can be in transit. */
const retentionMs = 60_000;
const maxLeases = 10_000;

/** Holds recently released lease ids, oldest first. */
export class ReleasedLeases {
  private readonly releasedAtMs = new Map<string, number>();

  add(leaseId: string, nowMs: number): void {
    this.releasedAtMs.delete(leaseId);
    this.releasedAtMs.set(leaseId, nowMs);
    this.expire(nowMs);
  }

  /** True if the id was released recently. */
  has(leaseId: string): boolean {
    return this.releasedAtMs.has(leaseId);
  }

  /** Forgets ids after their retention time, and the oldest above the limit. */
  expire(nowMs: number): void {
    for (const [leaseId, atMs] of this.releasedAtMs) {
      const expired = nowMs - atMs > retentionMs;
      if (!expired && this.releasedAtMs.size <= maxLeases) return;
      this.releasedAtMs.delete(leaseId);
    }
  }
}
