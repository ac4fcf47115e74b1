/** Calls of a gateway to dispatchers about leases. */
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
 * Below the time after which a lease request gives a silent dispatcher up, so
 * that a silent link is replaced before.
 */
const acquireStartDeadlineMs = 200;
const renewDeadlineMs = 1_000;
const releaseDeadlineMs = 1_000;

/** What happens on one acquisition at a dispatcher. */
export interface AcquireListener {
  onEvent(event: LeaseEvent): void;
  /** The link failed, or the dispatcher ended the events. */
  onEnd(): void;
}

/** The calls; addresses are `ip:port` of dispatchers. */
export interface DispatcherCalls {
  /** Asks for a slot. Returns a function that ends the events. */
  acquire(
    address: string,
    acquire: Acquire,
    listener: AcquireListener,
  ): () => void;
  release(address: string, release: Release): ResultAsync<void, PeerError>;
  renew(address: string, renew: Renew): ResultAsync<RenewAnswer, PeerError>;
}

/** Calls over the links between members. */
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
      // A failed link is one more way in which the events end.
    }
    if (!signal.aborted) listener.onEnd();
  }
}
