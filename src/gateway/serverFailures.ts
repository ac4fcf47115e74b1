/** Which backend servers one request failed on. */
import {AttemptEndKind} from './engineStream.js';

/** Guides the attempts of one request away from what failed. */
export class ServerFailures {
  private readonly avoided = new Set<string>();
  private readonly triedAgain = new Set<string>();
  private preferred: string | undefined;

  /**
   * Notes a failed attempt. True when the next one should go to the same
   * backend server: once, after a cut or silent connection.
   */
  add(backendServer: string, kind: AttemptEndKind): boolean {
    const connectionFailed =
      kind === AttemptEndKind.Broken || kind === AttemptEndKind.Silent;
    const tryAgain = connectionFailed && !this.triedAgain.has(backendServer);
    this.triedAgain.add(backendServer);
    this.preferred = tryAgain ? backendServer : undefined;
    if (!tryAgain) this.avoided.add(backendServer);
    return tryAgain;
  }

  /** True when an attempt on the backend server failed. */
  has(backendServer: string): boolean {
    return this.triedAgain.has(backendServer);
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
