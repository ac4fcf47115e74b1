/** Traffic counter for connections between members. */
import type {Socket} from 'node:net';

/** Bytes and connections since the process started, for the dump. */
export interface Traffic {
  connectionsOpened: number;
  connectionsOpen: number;
  bytesSent: number;
  bytesReceived: number;
}

/**
 * Sums the bytes of TCP sockets. WebSocket handshakes and frames are included;
 * TCP and IP headers are not.
 */
export class TrafficCounter {
  private readonly open = new Set<Socket>();
  private opened = 0;
  private bytesSentByClosed = 0;
  private bytesReceivedByClosed = 0;

  /** Starts counting the traffic of a socket. */
  add(socket: Socket): void {
    this.open.add(socket);
    this.opened += 1;
    socket.once('close', () => {
      this.open.delete(socket);
      this.bytesSentByClosed += socket.bytesWritten;
      this.bytesReceivedByClosed += socket.bytesRead;
    });
  }

  /** Returns the totals over open and closed sockets. */
  describe(): Traffic {
    let bytesSent = this.bytesSentByClosed;
    let bytesReceived = this.bytesReceivedByClosed;
    for (const socket of this.open) {
      bytesSent += socket.bytesWritten;
      bytesReceived += socket.bytesRead;
    }
    return {
      connectionsOpened: this.opened,
      connectionsOpen: this.open.size,
      bytesSent,
      bytesReceived,
    };
  }
}
