/** Reads newer published state from other routers. */
import {request} from 'undici';
import {z} from 'zod';
import type {Log} from '../node/log.js';
import {ServerState, type BackendServer} from './deployment.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {StateVersions} from './peerReport.js';
import type {PublishedStateReader} from './publishedState.js';
import type {ServerDirectory} from './serverDirectory.js';

/** Paths of the published state at each router. */
export enum PeerPath {
  Deployment = '/deployment',
  Servers = '/servers',
}

/** Timeout of a read from a peer, in milliseconds. */
const readTimeoutMs = 1_000;

const serversSchema = z.object({
  revision: z.number(),
  ageMs: z.number(),
  servers: z.array(
    z.object({
      id: z.string(),
      service: z.string(),
      host: z.string(),
      port: z.number(),
      zone: z.string(),
      slots: z.number(),
      state: z.enum(ServerState),
      startedAt: z.number().optional(),
      warmUpMs: z.number(),
    }),
  ),
});

export interface PeerStateReaderOptions {
  readonly deployments: DeploymentStore;
  readonly servers: ServerDirectory;
  readonly reader: PublishedStateReader;
  readonly log: Log;
  /**
   * Time within which all routers stop sending requests to a leaving backend
   * server, in milliseconds.
   */
  readonly leaveBoundMs: number;
  /** Notifies other routers of newer state. */
  readonly announce: () => void;
}

/** Reads newer state from peers, with at most one read per path in flight. */
export class PeerStateReader {
  /** Reads since the start, for logs. */
  count = 0;
  private readonly pulls = new Set<PeerPath>();

  constructor(private readonly options: PeerStateReaderOptions) {}

  /** Compares versions with a peer, and reads what is newer there. */
  syncFrom(versions: StateVersions, peer: string, signal: AbortSignal): void {
    const {deployments, servers} = this.options;
    if (this.isUninitialised() && !this.isTrusted(versions)) return;
    if (versions.deploymentVersion > deployments.version) {
      this.pull(PeerPath.Deployment, peer, signal);
    }
    if (versions.serversAgeMs < 0) return;
    if (versions.serversRevision < servers.revision) return;
    if (versions.serversDigest === servers.digest) {
      servers.updateFreshnessFromPeer(
        versions.serversRevision,
        versions.serversAgeMs,
      );
    } else {
      this.pull(PeerPath.Servers, peer, signal);
    }
  }

  private isUninitialised(): boolean {
    const {deployments, servers} = this.options;
    return deployments.version === 0 || servers.measureAgeMs() === Infinity;
  }

  /**
   * A starting router doesn't trust a peer that is cut off from the platform:
   * its state may contain servers that have left and API keys that were
   * revoked. After an own read has failed, there is no better source.
   */
  private isTrusted({serversAgeMs}: StateVersions): boolean {
    const {leaveBoundMs, reader} = this.options;
    if (reader.calls.failed > 0) return true;
    return serversAgeMs >= 0 && serversAgeMs <= leaveBoundMs;
  }

  private pull(path: PeerPath, peer: string, signal: AbortSignal): void {
    if (this.pulls.has(path)) return;
    this.pulls.add(path);
    this.count += 1;
    const bounded = AbortSignal.any([
      signal,
      AbortSignal.timeout(readTimeoutMs),
    ]);
    void this.readPeer(path, peer, bounded)
      .catch((error: unknown) => {
        const {log} = this.options;
        log.warn('read from peer failed', {path, peer, error: String(error)});
      })
      .finally(() => this.pulls.delete(path));
  }

  private async readPeer(
    path: PeerPath,
    peer: string,
    signal: AbortSignal,
  ): Promise<void> {
    const startedAtMs = performance.now();
    const {statusCode, body} = await request(`http://${peer}${path}`, {signal});
    const text = await body.text();
    if (statusCode !== 200) return;
    const {deployments, servers, reader, log} = this.options;
    const ms = Math.round(performance.now() - startedAtMs);
    switch (path) {
      case PeerPath.Deployment: {
        const deployment = reader.decodeDeployment(text);
        if (!deployment) return;
        deployments.adopt({deployment, document: text}, peer, ms);
        this.options.announce();
        return;
      }
      case PeerPath.Servers: {
        const view = serversSchema.parse(JSON.parse(text));
        const entries: BackendServer[] = view.servers;
        if (servers.apply({...view, servers: entries}, view.ageMs)) {
          const {revision} = view;
          log.logInfo('server view adopted', {revision, source: peer});
          this.options.announce();
        }
        return;
      }
    }
  }
}
