/** Client side of tRPC over one WebSocket that never reconnects. */
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {z} from 'zod';
import type {WebSocket} from 'ws';
import type {DispatcherRouter} from '../protocol/peerRouter.js';

/** Messages of a server, after tRPC's WebSocket protocol. */
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

export interface CallSocketOptions {
  socket: WebSocket;
  peerKey: string;
  /** Without a message for this time, the peer is asked for one. */
  keepAliveIntervalMs: number;
  /** Time for the answer. */
  pongTimeoutMs: number;
  /** Called when the connection failed, closed or went silent. */
  onBroken: (reason: string) => void;
}

/**
 * Sends each call at once. tRPC's own `wsLink` waits for a timer of 0 ms
 * before each message to batch calls, which costs a millisecond or more a call.
 */
export class CallSocket {
  private readonly handlers = new Map<
    number,
    (message: ServerMessage) => void
  >();
  private readonly unsent: string[] = [];
  private readonly socket: WebSocket;
  private lastId = 0;
  private isOpen = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: CallSocketOptions) {
    this.socket = options.socket;
    this.socket.on('open', () => this.begin());
    this.socket.on('message', data => this.receive(String(data)));
    this.socket.on('close', () => this.end('the connection closed'));
    this.socket.on('error', () => this.end('the connection failed'));
  }

  /** Stops the keep-alive; calls get no more answers. */
  close(): void {
    clearTimeout(this.timer);
    this.handlers.clear();
    this.unsent.length = 0;
  }

  /** The terminating link of a tRPC client. */
  createLink(): TRPCLink<DispatcherRouter> {
    return () =>
      ({op}) =>
        observable(observer => {
          const {type, path, input} = op;
          this.lastId += 1;
          const id = this.lastId;
          const isSubscription = type === 'subscription';
          let isOver = false;
          this.handlers.set(id, message => {
            isOver =
              !isSubscription ||
              'error' in message ||
              message.result.type === 'stopped';
            if (isOver) this.handlers.delete(id);
            if ('error' in message) {
              observer.error(TRPCClientError.from(message as never));
              return;
            }
            observer.next({result: message.result as never});
            if (isOver) observer.complete();
          });
          this.send({id, method: type, params: {path, input}});
          return () => {
            this.handlers.delete(id);
            if (!isSubscription || isOver) return;
            this.send({id, method: 'subscription.stop'});
          };
        });
  }

  private begin(): void {
    this.isOpen = true;
    const {peerKey} = this.options;
    this.socket.send(
      JSON.stringify({method: 'connectionParams', data: {peerKey}}),
    );
    for (const text of this.unsent.splice(0)) this.socket.send(text);
    this.scheduleKeepAlive();
  }

  private send(message: object): void {
    const text = JSON.stringify(message);
    if (this.isOpen) this.socket.send(text);
    else this.unsent.push(text);
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
