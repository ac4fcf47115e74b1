/** Delay that an abort signal can end early. */

/** Limit of `setTimeout`, which fires at once when given a longer time. */
const maxDelayMs = 2 ** 31 - 1;

/**
 * Resolves after the given time, or as soon as the signal aborts; never
 * rejects.
 *
 * @example
 * while (!signal.aborted) { await waitFor(1000, signal); poll(); }
 */
export function waitFor(ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, Math.min(ms, maxDelayMs));
    signal?.addEventListener('abort', finish, {once: true});
  });
}
