/** State in the reports of other routers besides the loads of servers. */
import type {FleetTotals} from '../fleetTotals/fleetTotals.js';
import type {CrashQuarantine} from './crashQuarantine.js';
import type {PeerReport} from './peerReport.js';
import type {RelayReport} from './relayReport.js';
import type {ServerLimits} from './serverLimits.js';
import type {SharedNotices} from './sharedNotices.js';

/** Components that keep the state. */
export interface SharedStateOptions {
  readonly notices: SharedNotices;
  readonly quarantine: CrashQuarantine;
  readonly limits: ServerLimits;
  readonly totals: FleetTotals;
  /** Records where another router has placed a prompt part, by compact keys. */
  readonly recordPlacement: (part: number, server: number) => void;
}

/**
 * Records the state in a router's report.
 *
 * @param host - IP address of the router
 * @example
 * recordPeerState(options, '10.0.0.7', report);
 */
export function recordPeerState(
  options: SharedStateOptions,
  host: string,
  report: PeerReport,
): void {
  recordState(options, report, report.isForRelay);
  options.totals.recordPeer(host, report.totals, report.isForRelay);
}

/** Records the state in a relay's report; see `recordPeerState`. */
export function recordRelayState(
  options: SharedStateOptions,
  host: string,
  report: RelayReport,
): void {
  recordState(options, report, false);
  options.totals.recordRelay(host, report.totals);
}

/** @param shouldRelay - true on a relay, for reports of its members */
function recordState(
  options: SharedStateOptions,
  report: PeerReport | RelayReport,
  shouldRelay: boolean,
): void {
  for (const [part, server] of report.placements) {
    options.recordPlacement(part, server);
  }
  options.notices.recordPeer(report.notices, shouldRelay);
  options.quarantine.recordPeer(report.crashEvidence, shouldRelay);
  options.limits.recordPeer(report.limits, shouldRelay);
}
