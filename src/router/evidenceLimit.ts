/** Limit for the evidence against requests and prompt parts in one report. */
import type {CrashEvidence} from './crashQuarantine.js';

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
 * Keeps the first crashes, and the last acquitted suspects and probes.
 *
 * @example
 * selectEvidence({crashes, acquitted: [], probes: []})
 */
export function selectEvidence(all: CrashEvidence): CrashEvidence {
  const maxOther = maxNumbers * maxOtherRatio;
  const acquitted = all.acquitted.slice(-maxOther);
  const probes = all.probes.slice(-maxOther / probeNumbers);
  let left = maxNumbers - acquitted.length - probes.length * probeNumbers;
  const end = all.crashes.findIndex(({suspects}) => {
    left -= crashNumbers + suspects.length;
    return left < 0;
  });
  const crashes = end < 0 ? all.crashes : all.crashes.slice(0, end);
  return {crashes, acquitted, probes};
}
