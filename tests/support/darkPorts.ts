/** Ports that answer no handshake, as those of a server without power. */
import net from 'node:net';
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/**
 * Connections that fill the queue of a port whose process accepts none, whatever
 * the system adds to the length that was asked for. Further handshakes get no
 * answer.
 */
const fillingConnections = 8;

/** Listens, sends its ports, and then never accepts a connection. */
const script = `
  const net = require('node:net');
  const {parentPort, workerData} = require('node:worker_threads');
  const ports = [];
  for (let i = 0; i < workerData; i++) {
    const server = net.createServer().listen(
      {host: '127.0.0.1', port: 0, backlog: 1},
      () => {
        ports.push(server.address().port);
        if (ports.length < workerData) return;
        parentPort.postMessage(ports);
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
      },
    );
  }
`;

/** Ports of 127.0.0.1 at which each connection attempt times out. */
export class DarkPorts {
  private constructor(
    readonly ports: readonly number[],
    private readonly worker: Worker,
    private readonly sockets: readonly net.Socket[],
  ) {}

  static async open(count: number): Promise<DarkPorts> {
    const worker = new Worker(script, {eval: true, workerData: count});
    const [ports] = (await once(worker, 'message')) as [number[]];
    const sockets: net.Socket[] = [];
    for (const port of ports) {
      for (let i = 0; i < fillingConnections; i++) {
        const socket = net.connect(port, '127.0.0.1');
        socket.on('error', () => undefined);
        sockets.push(socket);
      }
    }
    return new DarkPorts(ports, worker, sockets);
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await this.worker.terminate();
  }
}
