/** tRPC client transport over one WebSocket, without reconnection. */
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {z} from 'zod';
import type {WebSocket} from 'ws';
import type {DispatcherRouter} from '../protocol/peerRouter.js';

/** Messages from the server, as defined by tRPC's WebSocket protocol. */
const serverMessageSchema = z.union([
  z.object({
    id: z.number(),
    result: z.discriminatedUnion('type', [
      z.object({type: z.literal('data'), data: z.unknown().optional()}),
      z.object({type: z.literal('started')}),
      z.object({type: z.literal('stopped')}),
    ]),
  }),
  z.object({
    id: z.number(),
    error: z.looseObject({message: z.string(), code: z.number()}),
  }),
]);
type ServerMessage = z.infer<typeof serverMessageSchema>;

const pingText = 'PING';
const pongText = 'PONG';

export interface RpcSocketOptions {
  socket: WebSocket;
  peerKey: string;
  /** A `PING` is sent when nothing was received for this time. */
  keepAliveIntervalMs: number;
  /** The connection counts as failed when a `PING` has no answer by then. */
  pongTimeoutMs: number;
  /** Called when the connection failed, closed or stopped answering. */
  onBroken: (reason: string) => void;
}

/**
 * Sends each call immediately. tRPC's own `wsLink` batches calls with a timer
 * of 0 ms, which adds a millisecond or more to each call.
 */
export class RpcSocket {
  private readonly handlers = new Map<
    number,
    (message: ServerMessage) => void
  >();
  private readonly pendingMessages: string[] = [];
  private readonly socket: WebSocket;
  private lastRequestId = 0;
  private isOpen = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RpcSocketOptions) {
    this.socket = options.socket;
    this.socket.on('open', () => this.handleOpen());
    this.socket.on('message', data => this.receive(String(data)));
    this.socket.on('close', () => this.end('the connection closed'));
    this.socket.on('error', () => this.end('the connection failed'));
  }

  /** Stops the keep-alive; pending calls get no more answers. */
  close(): void {
    clearTimeout(this.timer);
    this.handlers.clear();
    this.pendingMessages.length = 0;
  }

  /** Creates the terminating link of a tRPC client. */
  createLink(): TRPCLink<DispatcherRouter> {
    return () =>
      ({op}) =>
        observable(observer => {
          const {type, path, input} = op;
          this.lastRequestId += 1;
          const id = this.lastRequestId;
          const isSubscription = type === 'subscription';
          let isComplete = false;
          this.handlers.set(id, message => {
            isComplete =
              !isSubscription ||
              'error' in message ||
              message.result.type === 'stopped';
            if (isComplete) this.handlers.delete(id);
            if ('error' in message) {
              observer.error(TRPCClientError.from(message as never));
              return;
            }
            observer.next({result: message.result as never});
            if (isComplete) observer.complete();
          });
          this.send({id, method: type, params: {path, input}});
          return () => {
            this.handlers.delete(id);
            if (!isSubscription || isComplete) return;
            this.send({id, method: 'subscription.stop'});
          };
        });
  }

  private handleOpen(): void {
    this.isOpen = true;
    const {peerKey} = this.options;
    this.socket.send(
      JSON.stringify({method: 'connectionParams', data: {peerKey}}),
    );
    for (const text of this.pendingMessages.splice(0)) this.socket.send(text);
    this.scheduleKeepAlive();
  }

  private send(message: object): void {
    const text = JSON.stringify(message);
    if (this.isOpen) this.socket.send(text);
    else this.pendingMessages.push(text);
  }

  private receive(text: string): void {
    this.scheduleKeepAlive();
    if (text === pongText) return;
    if (text === pingText) {
      this.socket.send(pongText);
      return;
    }
    const parsed = serverMessageSchema.safeParse(JSON.parse(text));
    if (parsed.success) this.handlers.get(parsed.data.id)?.(parsed.data);
  }

  private scheduleKeepAlive(): void {
    const {keepAliveIntervalMs, pongTimeoutMs} = this.options;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.socket.send(pingText);
      this.timer = setTimeout(
        () => this.end('the connection went silent'),
        pongTimeoutMs,
      );
    }, keepAliveIntervalMs);
  }

  private end(reason: string): void {
    clearTimeout(this.timer);
    this.isOpen = false;
    this.options.onBroken(reason);
  }
}
