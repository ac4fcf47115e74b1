/** Limit for the evidence against requests and prompt parts in one report. */
import type {CrashEvidence} from './crashReports.js';

/**
 * Numbers in one report, of up to 9 bytes each. A report that is longer than a
 * datagram can't be sent at all, and has to leave room for loads and members.
 */
const maxNumbers = 2_000;
/** Numbers of a crash besides its suspects, and of a probe. */
const crashNumbers = 3;
const probeNumbers = 3;
/** Part of the numbers of the acquitted, and of probes; the rest is of crashes. */
const maxOtherRatio = 1 / 4;

/**
 * Keeps the first crashes that fit, at least one, the first acquitted suspects and
 * the last probes.
 *
 * @example
 * selectEvidence({crashes, acquitted: [], probes: []})
 */
export function selectEvidence(all: CrashEvidence): CrashEvidence {
  const maxOther = maxNumbers * maxOtherRatio;
  const acquitted = all.acquitted.slice(0, maxOther);
  const probes = all.probes.slice(-maxOther / probeNumbers);
  let left = maxNumbers - acquitted.length - probes.length * probeNumbers;
  const crashes = all.crashes.filter(({suspects}, index) => {
    const numbers = crashNumbers + suspects.length;
    const isKept = numbers <= left || index === 0;
    if (isKept) left -= numbers;
    return isKept;
  });
  return {...all, crashes, acquitted, probes};
}
