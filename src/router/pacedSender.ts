/** Sends datagrams at a rate that the VM's link bears beside other traffic. */
import type {PeerSocket} from './peerSocket.js';

/**
 * Largest share of the link for reports. A relay with a slow link would
 * otherwise fill it: its reads of the platform and its answers to callers then
 * wait for seconds, and its members hear from it too late.
 */
const maxLinkRatio = 0.5;
/**
 * Time for which the link may be used fully, in milliseconds. What is sent
 * meanwhile delays other traffic by as much.
 */
const burstMs = 50;
/** Bits of a byte, over the bits per millisecond of 1 Mbit/s. */
const bytesPerMsOfMbps = 125;

/**
 * Sends in the order of `schedule`, as a token bucket allows.
 *
 * @example
 * const sender = new PacedSender(socket, 10);
 * for (const host of members) sender.schedule(host, bundle);
 * if (sender.isBusy) sender.send(host, heartbeat);
 */
export class PacedSender {
  private queue: Array<readonly [host: string, bytes: Uint8Array]> = [];
  private readonly bytesPerMs: number;
  private readonly burstBytes: number;
  private allowedBytes: number;
  private refilledAtMs = performance.now();
  private timer: NodeJS.Timeout | undefined;

  /** @param linkMbps - bandwidth of the VM's link in Mbit/s */
  constructor(
    private readonly socket: Pick<PeerSocket, 'send'>,
    linkMbps: number,
  ) {
    this.bytesPerMs = linkMbps * bytesPerMsOfMbps * maxLinkRatio;
    this.burstBytes = linkMbps * bytesPerMsOfMbps * burstMs;
    this.allowedBytes = this.burstBytes;
  }

  /** True while scheduled datagrams wait. */
  get isBusy(): boolean {
    return this.queue.length > 0;
  }

  /** Time until all scheduled datagrams are sent, in milliseconds. */
  measureWaitMs(): number {
    const waiting = this.queue.reduce((sum, [, {length}]) => sum + length, 0);
    if (waiting === 0) return 0;
    this.refill();
    return Math.max(0, waiting - this.allowedBytes) / this.bytesPerMs;
  }

  /** Sends at once, before what is scheduled, at whose expense it is. */
  send(host: string, bytes: Uint8Array): void {
    this.refill();
    this.allowedBytes -= bytes.length;
    this.socket.send(host, bytes);
  }

  /** Sends after what was scheduled before, at once if the rate allows. */
  schedule(host: string, bytes: Uint8Array): void {
    this.queue.push([host, bytes]);
    if (this.timer === undefined) this.drain();
  }

  /** Drops what is scheduled. */
  clear(): void {
    this.queue = [];
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private drain(): void {
    this.timer = undefined;
    this.refill();
    const sent = this.queue.findIndex(([host, bytes]) => {
      if (this.allowedBytes <= 0) return true;
      this.allowedBytes -= bytes.length;
      this.socket.send(host, bytes);
      return false;
    });
    this.queue = sent < 0 ? [] : this.queue.slice(sent);
    if (!this.isBusy) return;
    const waitMs = Math.max(1, (1 - this.allowedBytes) / this.bytesPerMs);
    this.timer = setTimeout(() => this.drain(), waitMs);
  }

  private refill(): void {
    const nowMs = performance.now();
    const addedBytes = (nowMs - this.refilledAtMs) * this.bytesPerMs;
    this.refilledAtMs = nowMs;
    this.allowedBytes = Math.min(
      this.burstBytes,
      this.allowedBytes + addedBytes,
    );
  }
}
