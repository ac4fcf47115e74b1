/** Lease calls of a gateway to dispatchers. */
import type {ResultAsync} from 'neverthrow';
import type {PeerLinks} from '../node/peerLinks.js';
import type {PeerError} from '../protocol/errors.js';
import type {
  Acquire,
  LeaseEvent,
  Release,
  Renew,
  RenewAnswer,
} from '../protocol/leaseMessages.js';

/**
 * Shorter than the time after which a lease request treats a silent dispatcher
 * as unreachable, so that a silent link is replaced first.
 */
const acquireStartDeadlineMs = 200;
const renewDeadlineMs = 1_000;
const releaseDeadlineMs = 1_000;

/** Receives the events of one acquisition at a dispatcher. */
export interface AcquireListener {
  onEvent(event: LeaseEvent): void;
  /** Called when the link failed or the dispatcher ended the events. */
  onEnd(): void;
}

/** Calls to dispatchers; each address is the `ip:port` of a dispatcher. */
export interface DispatcherCalls {
  /** Asks for a slot. Returns a function that cancels the subscription. */
  acquire(
    address: string,
    acquire: Acquire,
    listener: AcquireListener,
  ): () => void;
  release(address: string, release: Release): ResultAsync<void, PeerError>;
  renew(address: string, renew: Renew): ResultAsync<RenewAnswer, PeerError>;
}

/** Sends the calls over the links between fleet members. */
export class PeerDispatcherCalls implements DispatcherCalls {
  constructor(private readonly links: PeerLinks) {}

  acquire(
    address: string,
    acquire: Acquire,
    listener: AcquireListener,
  ): () => void {
    const abortController = new AbortController();
    void this.readEvents(address, acquire, listener, abortController.signal);
    return () => abortController.abort();
  }

  release(address: string, release: Release): ResultAsync<void, PeerError> {
    return this.links.callDispatcher(
      address,
      releaseDeadlineMs,
      (client, signal) => client.leases.release.mutate(release, {signal}),
    );
  }

  renew(address: string, renew: Renew): ResultAsync<RenewAnswer, PeerError> {
    return this.links.callDispatcher(
      address,
      renewDeadlineMs,
      (client, signal) => client.leases.renew.mutate(renew, {signal}),
    );
  }

  private async readEvents(
    address: string,
    acquire: Acquire,
    listener: AcquireListener,
    signal: AbortSignal,
  ): Promise<void> {
    try {
      const events = this.links.subscribe<LeaseEvent>(address, {
        startDeadlineMs: acquireStartDeadlineMs,
        signal,
        start: (client, observer) =>
          client.leases.acquire.subscribe(acquire, observer),
      });
      for await (const event of events) listener.onEvent(event);
    } catch {
      // A failed link ends the events; `onEnd` below reports it.
    }
    if (!signal.aborted) listener.onEnd();
  }
}
