/** Counts the bytes of connections between members. */
import type {Socket} from 'node:net';

/** Bytes and connections since the start of the process, for the dump. */
export interface Traffic {
  connectionsOpened: number;
  connectionsOpen: number;
  bytesSent: number;
  bytesReceived: number;
}

/**
 * Sums the bytes of TCP sockets, WebSocket handshakes and frames included.
 * TCP and IP headers are not counted.
 */
export class TrafficCounter {
  private readonly open = new Set<Socket>();
  private opened = 0;
  private closedSent = 0;
  private closedReceived = 0;

  /** Counts a socket until it closes. */
  add(socket: Socket): void {
    this.open.add(socket);
    this.opened += 1;
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedSent += socket.bytesWritten;
      this.closedReceived += socket.bytesRead;
    });
  }

  /** Returns the sums. */
  describe(): Traffic {
    let bytesSent = this.closedSent;
    let bytesReceived = this.closedReceived;
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
