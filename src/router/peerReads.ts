/** Reads of published state from the other routers. */
import {request} from 'undici';
import {z} from 'zod';
import type {Log} from '../node/log.js';
import {ServerState, type BackendServer} from './deployment.js';
import type {DeploymentStore} from './deploymentStore.js';
import type {StateVersions} from './peerReport.js';
import type {PublishedStateReader} from './publishedState.js';
import type {ServerDirectory} from './serverDirectory.js';

/** Paths that peers read from each other. */
export enum PeerPath {
  Deployment = '/deployment',
  Servers = '/servers',
}

/** Deadline of a read from a peer in milliseconds. */
const pullDeadlineMs = 1_000;

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

export interface PeerReadsOptions {
  readonly deployments: DeploymentStore;
  readonly servers: ServerDirectory;
  readonly reader: PublishedStateReader;
  readonly log: Log;
  /** Time by which all routers know of a change, in milliseconds. */
  readonly leaveBoundMs: number;
  /** Tells the others of newer state. */
  readonly announce: () => void;
}

/** Reads what a peer has newer, one read of each path at a time. */
export class PeerReads {
  /** Reads since the start, for logs. */
  count = 0;
  private readonly pulls = new Set<PeerPath>();

  constructor(private readonly options: PeerReadsOptions) {}

  /** Adopts newer state of a peer. */
  follow(versions: StateVersions, peer: string, signal: AbortSignal): void {
    const {deployments, servers} = this.options;
    if (this.isFirst() && !this.isTrusted(versions)) return;
    if (versions.deploymentVersion > deployments.version) {
      this.pull(PeerPath.Deployment, peer, signal);
    }
    if (versions.serversAgeMs < 0) return;
    if (versions.serversRevision < servers.revision) return;
    if (versions.serversDigest === servers.digest) {
      servers.touchByPeer(versions.serversRevision, versions.serversAgeMs);
    } else {
      this.pull(PeerPath.Servers, peer, signal);
    }
  }

  private isFirst(): boolean {
    const {deployments, servers} = this.options;
    return deployments.version === 0 || servers.measureAgeMs() === Infinity;
  }

  /**
   * A router that starts doesn't believe a peer that is cut off: it may have
   * servers that left and keys that were withdrawn. Once a read of its own has
   * failed, it has nothing better.
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
      AbortSignal.timeout(pullDeadlineMs),
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
    const {statusCode, body} = await request(`http://${peer}${path}`, {signal});
    const text = await body.text();
    if (statusCode !== 200) return;
    const {deployments, servers, reader, log} = this.options;
    switch (path) {
      case PeerPath.Deployment: {
        const deployment = reader.decodeDeployment(text);
        if (!deployment) return;
        deployments.adopt({deployment, document: text}, peer);
        this.options.announce();
        return;
      }
      case PeerPath.Servers: {
        const view = serversSchema.parse(JSON.parse(text));
        const entries: BackendServer[] = view.servers;
        if (servers.apply({...view, servers: entries}, view.ageMs)) {
          const {revision} = view;
          log.note('server view adopted', {revision, source: peer});
          this.options.announce();
        }
        return;
      }
    }
  }
}
