/** Time that the main thread of this process waits for a processor. */
import fs from 'node:fs';

const nanosecondsPerMs = 1e6;

/**
 * Returns the total time for which the main thread was ready to run, but other
 * processes had all processors, in milliseconds; 0 on systems that don't tell.
 *
 * Source: `/proc/PID/schedstat`, second field, of the Linux kernel.
 *
 * @example
 * const beforeMs = readRunQueueWaitMs();
 */
export function readRunQueueWaitMs(): number {
  try {
    const text = fs.readFileSync('/proc/self/schedstat', 'utf8');
    return Number(text.split(' ')[1]) / nanosecondsPerMs;
  } catch {
    return 0;
  }
}
