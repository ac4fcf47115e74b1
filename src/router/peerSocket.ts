/** Datagrams between routers over UDP. */
import dgram from 'node:dgram';
import {formatError, type Log} from '../node/log.js';

/** Called with each datagram and the IP address of its sender. */
export type DatagramListener = (bytes: Uint8Array, host: string) => void;

/** Sends datagrams to other routers and receives theirs. */
export interface PeerSocket {
  /** Receives datagrams until the signal aborts; rejects if it can't bind. */
  listen(listener: DatagramListener, signal: AbortSignal): Promise<void>;
  /** Sends a datagram to the router with the given IP address. */
  send(host: string, bytes: Uint8Array): void;
}

export interface UdpPeerSocketOptions {
  /** IP address of this router. */
  readonly address: string;
  /** UDP port, the same on every VM. */
  readonly port: number;
  readonly log: Log;
}

/**
 * @example
 * const socket = new UdpPeerSocket({address: '10.0.0.1', port: 7_001, log});
 * await socket.listen((bytes, host) => receive(bytes, host), signal);
 */
export class UdpPeerSocket implements PeerSocket {
  private readonly socket = dgram.createSocket('udp4');

  constructor(private readonly options: UdpPeerSocketOptions) {}

  async listen(listener: DatagramListener, signal: AbortSignal): Promise<void> {
    const {address, port, log} = this.options;
    this.socket.on('message', (bytes, {address: host}) => {
      // An error must cost no more than this datagram: it has nothing to do with
      // the requests in flight.
      try {
        listener(bytes, host);
      } catch (error) {
        log.logError('datagram failed', {host, error: formatError(error)});
      }
    });
    this.socket.on('error', error =>
      log.warn('UDP socket for peer reports failed', {error: error.message}),
    );
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, address, () => {
        this.socket.off('error', reject);
        resolve();
      });
    });
    signal.addEventListener('abort', () => this.socket.close(), {once: true});
  }

  send(host: string, bytes: Uint8Array): void {
    this.socket.send(bytes, this.options.port, host, error => {
      if (!error) return;
      const {log} = this.options;
      log.logDebug('sending a datagram failed', {host, error: error.message});
    });
  }
}
