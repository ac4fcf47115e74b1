/** Operators' interface of a daemon: dump, log level, drain. */
import type {AddressInfo} from 'node:net';
import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {z} from 'zod';
import {LogLevel, setLogLevel} from './log.js';
import {compareKeys} from './peerServer.js';

/** What the operators' interface calls in the daemon. */
export interface OperatorActions {
  /** `operationKey`: also dump the record of this key; gateways only. */
  dump(operationKey?: string): unknown;
  isReady(): boolean;
  /** Starts a graceful leave. */
  drain(): void;
}

export interface OperatorServerOptions {
  host: string;
  /** 0 lets the system choose. */
  port: number;
  operatorKey: string;
  actions: OperatorActions;
}

/** A body names a log level and nothing else. */
const maxBodyBytes = 1_024;

const logLevelBodySchema = z.object({level: z.enum(LogLevel)});

/** HTTP server on the operators' address; each call needs the operator key. */
export class OperatorServer {
  private constructor(private readonly server: ReturnType<typeof serve>) {}

  /** Starts to listen. */
  static async start(options: OperatorServerOptions): Promise<OperatorServer> {
    const app = buildApp(options);
    const {host, port} = options;
    return new Promise((resolve, reject) => {
      const server = serve({fetch: app.fetch, hostname: host, port}, () =>
        resolve(new OperatorServer(server)),
      );
      server.once('error', reject);
    });
  }

  /** Port that the server listens on. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops to listen and closes all connections. */
  async stop(): Promise<void> {
    // Kept-alive connections would hold the server open.
    if ('closeAllConnections' in this.server) this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }
}

function buildApp({operatorKey, actions}: OperatorServerOptions): Hono {
  const app = new Hono();
  app.use('*', async (context, next) => {
    const header = context.req.header('authorization') ?? '';
    const shown = header.startsWith('Bearer ') ? header.slice(7) : '';
    if (!compareKeys(shown, operatorKey)) {
      return context.json({error: 'wrong operator key'}, 401);
    }
    return next();
  });
  app.use(
    '*',
    bodyLimit({
      maxSize: maxBodyBytes,
      onError: context => context.json({error: 'body too large'}, 413),
    }),
  );
  app.onError((error, context) =>
    context.json({error: `${error.name}: ${error.message}`}, 500),
  );
  app.notFound(context => context.json({error: 'no such path'}, 404));
  app.get('/ready', context =>
    context.json({ready: actions.isReady()}, actions.isReady() ? 200 : 503),
  );
  app.get('/dump', context =>
    context.json(actions.dump(context.req.query('operationKey')) as object),
  );
  app.post('/drain', context => {
    actions.drain();
    return context.json({draining: true}, 202);
  });
  app.put('/log-level', async context => {
    const body: unknown = await context.req.json().catch(() => undefined);
    const parsed = logLevelBodySchema.safeParse(body);
    if (!parsed.success) {
      return context.json({error: 'level must be one of the log levels'}, 400);
    }
    setLogLevel(parsed.data.level);
    return context.json({level: parsed.data.level});
  });
  return app;
}
