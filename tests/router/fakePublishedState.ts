/** In-memory platform state with injected faults. */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {
  ItemKind,
  UpdateKind,
  type EvacuationItem,
  type EvacuationUpdate,
} from '../../src/evacuation/evacuationUpdate.js';
import {waitFor} from '../../src/node/delay.js';
import {PlatformError} from '../../src/protocol/errors.js';
import {HistoryLostError} from '../../src/router/publishedState.js';
import type {BackendServer, Deployment} from '../../src/router/deployment.js';
import type {
  DeploymentChange,
  PublishedServers,
  PublishedStateReader,
} from '../../src/router/publishedState.js';

const watchPollIntervalMs = 5;
/** Time after its wait in which a watch fails that gets no answer. */
const watchTimeoutMarginMs = 700;

export class FakePublishedState implements PublishedStateReader {
  readonly calls = {reads: 0, watches: 0, failed: 0};
  servers: BackendServer[] = [];
  deployment: Deployment | undefined;
  private readonly evacuatedZones = new Set<string>();
  /** Names of readers whose calls fail. */
  readonly failingReaders = new Set<string>();
  isDown = false;
  /** True while watches get no answer, as on a dead connection. */
  hasDeadWatches = false;
  serverReads = 0;
  /** Includes those after a watch. */
  deploymentReads = 0;
  private revision = 1;
  private epoch = 1;

  /** Opens a reader whose calls can be made to fail by its name. */
  openReader(name: string): PublishedStateReader {
    let failed = 0;
    const run = <T>(
      read: () => ResultAsync<T, PlatformError>,
    ): ResultAsync<T, PlatformError> => {
      if (!this.isDown && !this.failingReaders.has(name)) return read();
      failed += 1;
      return errAsync(
        new PlatformError('platform unreachable (injected fault)'),
      );
    };
    const {calls} = this;
    return {
      calls: {
        get reads() {
          return calls.reads;
        },
        get watches() {
          return calls.watches;
        },
        get failed() {
          return failed;
        },
      },
      readDeployment: signal => run(() => this.readDeployment(signal)),
      watchDeployment: (after, waitMs, signal) =>
        run(() => this.watchDeployment(after, waitMs, signal)),
      readServers: () => run(() => this.readServers()),
      decodeDeployment: document => this.decodeDeployment(document),
    };
  }

  publishDeployment(deployment: Deployment): void {
    this.deployment = deployment;
    this.revision += 1;
  }

  publishServers(servers: BackendServer[]): void {
    this.servers = servers;
    this.revision += 1;
  }

  evacuate(zone: string): void {
    this.evacuatedZones.add(zone);
    this.revision += 1;
  }

  endEvacuation(zone: string): void {
    this.evacuatedZones.delete(zone);
    this.revision += 1;
  }

  /** Raises the revision as writes that change nothing do. */
  writeHeartbeats(count: number): void {
    this.revision += count;
  }

  /** Returns to an old copy, whose revisions are given out again. */
  resetTo(copy: {servers: BackendServer[]; deployment: Deployment}): void {
    this.servers = copy.servers;
    this.deployment = copy.deployment;
    this.evacuatedZones.clear();
    this.revision = 1;
    this.epoch += 1;
  }

  readDeployment(
    _signal: AbortSignal,
  ): ResultAsync<DeploymentChange, PlatformError> {
    this.deploymentReads += 1;
    const {deployment, revision, epoch} = this;
    const evacuations = this.listEvacuations();
    if (!deployment) return okAsync({evacuations, revision, epoch});
    const document = JSON.stringify(deployment);
    const published = {deployment, document};
    return okAsync({published, evacuations, revision, epoch});
  }

  listEvacuations(): EvacuationUpdate {
    const items = [...this.evacuatedZones].map((zone): EvacuationItem => ({
      kind: ItemKind.Written,
      zone,
    }));
    return {kind: UpdateKind.Complete, items};
  }

  watchDeployment(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<DeploymentChange, PlatformError> {
    this.calls.watches += 1;
    if (this.hasDeadWatches) {
      const timeoutMs = waitMs + watchTimeoutMarginMs;
      return ResultAsync.fromSafePromise(waitFor(timeoutMs, signal)).andThen(
        () => errAsync(new PlatformError('no answer (injected fault)')),
      );
    }
    if (after > this.revision) {
      return errAsync(new HistoryLostError('revision lost (injected fault)'));
    }
    const wait = async () => {
      const endsAtMs = performance.now() + waitMs;
      while (this.revision <= after && performance.now() < endsAtMs) {
        if (signal.aborted) break;
        await waitFor(watchPollIntervalMs, signal);
      }
    };
    return ResultAsync.fromSafePromise(wait()).andThen(() =>
      this.readDeployment(signal),
    );
  }

  readServers(): ResultAsync<PublishedServers, PlatformError> {
    this.serverReads += 1;
    this.calls.reads += 1;
    this.revision += 1;
    const {servers, revision, epoch} = this;
    return okAsync({servers, revision, epoch});
  }

  decodeDeployment(document: string): Deployment | undefined {
    return JSON.parse(document) as Deployment;
  }
}
