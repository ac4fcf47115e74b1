/** Reads newer published state from other routers. */
import {request} from 'undici';
import {z} from 'zod';
import type {InputMeter} from '../input/inputMeter.js';
import {receiveDocument} from '../input/receiveBytes.js';
import {waitFor} from '../node/delay.js';
import type {Log} from '../node/log.js';
import type {Evacuations} from '../evacuation/evacuations.js';
import {assertNever} from '../protocol/assertNever.js';
import {isBefore} from '../protocol/publishedPosition.js';
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
/**
 * Time after which other sources are asked too, in milliseconds. The slowest
 * links deliver a large deployment within it, unless they are overloaded.
 */
const patienceMs = 400;

const serversSchema = z.object({
  epoch: z.number(),
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
  readonly evacuations: Evacuations;
  readonly reader: PublishedStateReader;
  readonly meter: InputMeter;
  readonly log: Log;
  /**
   * Time within which all routers stop sending requests to a leaving backend
   * server, in milliseconds.
   */
  readonly leaveBoundMs: number;
  /** Notifies other routers of newer state. */
  readonly announce: () => void;
}

/** Reads of one path that are in flight. */
interface PathReads {
  /** `host:port` of the peers, and `platformSource`. */
  readonly sources: Set<string>;
  latestStartMs: number;
  /** Ends all of them once one has delivered. */
  readonly done: AbortController;
}

/** Name of the platform among the sources of a read, also in logs. */
const platformSource = 'platform';

/**
 * Reads newer state from the peers that announce it. A peer that doesn't
 * deliver soon may be overloaded, or heard but not reached; then the platform
 * and other peers are asked as well.
 */
export class PeerStateReader {
  /** Reads since the start, for logs. */
  count = 0;
  private readonly reads = new Map<PeerPath, PathReads>();

  constructor(private readonly options: PeerStateReaderOptions) {}

  /** Compares versions with a peer, and reads what is newer there. */
  syncFrom(versions: StateVersions, peer: string, signal: AbortSignal): void {
    const {deployments, servers, evacuations} = this.options;
    if (this.isUninitialised() && !this.isTrusted(versions)) return;
    const {evacuations: reported, serversAgeMs} = versions;
    if (reported && evacuations.recordPeer(reported, serversAgeMs, peer)) {
      this.options.announce();
    }
    if (versions.deploymentVersion > deployments.version) {
      this.pull(PeerPath.Deployment, peer, signal);
    }
    if (versions.serversAgeMs < 0) return;
    const position = {
      epoch: versions.serversEpoch,
      revision: versions.serversRevision,
    };
    if (isBefore(position, servers.position)) return;
    if (versions.serversDigest === servers.digest) {
      servers.updateFreshnessFromPeer(position, versions.serversAgeMs);
    } else {
      this.pull(PeerPath.Servers, peer, signal);
    }
  }

  private isUninitialised(): boolean {
    const {deployments, servers, evacuations} = this.options;
    return (
      deployments.version === 0 ||
      evacuations.position === undefined ||
      servers.measureAgeMs() === Infinity
    );
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
    const nowMs = performance.now();
    const known = this.reads.get(path);
    if (known?.sources.has(peer)) return;
    if (known && nowMs - known.latestStartMs < patienceMs) return;
    const reads: PathReads = known ?? {
      sources: new Set(),
      latestStartMs: nowMs,
      done: new AbortController(),
    };
    this.reads.set(path, reads);
    reads.latestStartMs = nowMs;
    this.count += 1;
    const ended = AbortSignal.any([signal, reads.done.signal]);
    const bounded = AbortSignal.any([
      ended,
      AbortSignal.timeout(readTimeoutMs),
    ]);
    this.track(path, peer, reads, this.readPeer(path, peer, bounded));
    if (known) return;
    const fallback = this.readPlatformLater(path, ended);
    this.track(path, platformSource, reads, fallback);
  }

  /**
   * Ends all reads of a path when one has delivered.
   *
   * @param read - resolves to whether the source has delivered
   */
  private track(
    path: PeerPath,
    source: string,
    reads: PathReads,
    read: Promise<boolean>,
  ): void {
    reads.sources.add(source);
    void read
      .then(
        hasDelivered => {
          if (hasDelivered) reads.done.abort();
        },
        (error: unknown) => {
          if (reads.done.signal.aborted) return;
          const {log} = this.options;
          const fields = {path, peer: source, error: String(error)};
          log.warn('read from peer failed', fields);
        },
      )
      .finally(() => {
        reads.sources.delete(source);
        const isEnded = reads.done.signal.aborted || reads.sources.size === 0;
        if (isEnded && this.reads.get(path) === reads) this.reads.delete(path);
      });
  }

  /** Reads from the platform unless a peer delivers in time. */
  private async readPlatformLater(
    path: PeerPath,
    signal: AbortSignal,
  ): Promise<boolean> {
    await waitFor(patienceMs, signal);
    if (signal.aborted) return false;
    const {reader, deployments, servers} = this.options;
    const startedAtMs = performance.now();
    const measureMs = () => Math.round(performance.now() - startedAtMs);
    switch (path) {
      case PeerPath.Deployment: {
        const read = await reader.readDeployment(signal);
        if (read.isErr()) throw read.error;
        const {published} = read.value;
        if (this.options.evacuations.apply(read.value, platformSource)) {
          this.options.announce();
        }
        if (!published) return false;
        if (deployments.adopt(published, platformSource, measureMs())) {
          this.options.announce();
        }
        return true;
      }
      case PeerPath.Servers: {
        const read = await reader.readServers(signal);
        if (read.isErr()) throw read.error;
        if (servers.apply(read.value, measureMs())) {
          this.recordAdoptedServers(read.value.revision, platformSource);
        }
        return true;
      }
      default:
        return assertNever(path);
    }
  }

  /** True if the peer has delivered. */
  private async readPeer(
    path: PeerPath,
    peer: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    const startedAtMs = performance.now();
    const {statusCode, body} = await request(`http://${peer}${path}`, {signal});
    const {deployments, servers, reader, meter} = this.options;
    const text = await receiveDocument(body, meter);
    if (statusCode !== 200) return false;
    const ms = Math.round(performance.now() - startedAtMs);
    switch (path) {
      case PeerPath.Deployment: {
        const deployment = reader.decodeDeployment(text);
        if (!deployment) return false;
        deployments.adopt({deployment, document: text}, peer, ms);
        this.options.announce();
        return true;
      }
      case PeerPath.Servers: {
        const view = serversSchema.parse(JSON.parse(text));
        const entries: BackendServer[] = view.servers;
        if (servers.apply({...view, servers: entries}, view.ageMs)) {
          this.recordAdoptedServers(view.revision, peer);
        }
        return true;
      }
      default:
        return assertNever(path);
    }
  }

  private recordAdoptedServers(revision: number, source: string): void {
    this.options.log.logInfo('server view adopted', {revision, source});
    this.options.announce();
  }
}
