/** Tracks the backend servers on which a request failed. */
import {AttemptEndKind} from './engineStream.js';

/** Steers the retries of one request away from failed servers. */
export class ServerFailures {
  private readonly avoided = new Set<string>();
  private readonly failedServers = new Set<string>();
  private preferred: string | undefined;

  /**
   * Records a failed attempt. Returns true when the retry should go to the same
   * backend server: once per server, after a cut or silent connection.
   */
  add(backendServer: string, kind: AttemptEndKind): boolean {
    const connectionFailed =
      kind === AttemptEndKind.Broken || kind === AttemptEndKind.Silent;
    const retrySameServer =
      connectionFailed && !this.failedServers.has(backendServer);
    this.failedServers.add(backendServer);
    this.preferred = retrySameServer ? backendServer : undefined;
    if (!retrySameServer) this.avoided.add(backendServer);
    return retrySameServer;
  }

  /** True when an attempt on the backend server failed. */
  has(backendServer: string): boolean {
    return this.failedServers.has(backendServer);
  }

  /** Backend server to ask first. */
  getPreferred(): string | undefined {
    return this.preferred;
  }

  /** Backend servers to use only when no other is left. */
  getAvoided(): ReadonlySet<string> {
    return this.avoided;
  }
}
