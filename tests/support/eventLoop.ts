/** Stalls of the event loop, as on a VM whose processor is busy. */

/** Keeps the event loop from running for the given time. */
export function pauseEventLoop(ms: number): void {
  const endsAtMs = performance.now() + ms;
  while (performance.now() < endsAtMs);
}
