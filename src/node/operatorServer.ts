/** Operators' HTTP interface of a daemon: readiness, dump, log level, drain. */
import type {AddressInfo} from 'node:net';
import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {z} from 'zod';
import {LogLevel, setLogLevel} from './log.js';
import {compareKeys} from './peerServer.js';

/** Functions of the daemon that the operators' interface calls. */
export interface OperatorActions {
  /** Also dumps the record of an operation key, if given; gateways only. */
  dump(operationKey?: string): unknown;
  isReady(): boolean;
  /** Starts a graceful shutdown. */
  drain(): void;
}

export interface OperatorServerOptions {
  host: string;
  /** Port to listen on; 0 lets the operating system choose. */
  port: number;
  operatorKey: string;
  actions: OperatorActions;
}

/** The only body is that of `PUT /log-level`. */
const maxBodyBytes = 1_024;

const logLevelBodySchema = z.object({level: z.enum(LogLevel)});

/** HTTP server for operators; each request needs the operator key. */
export class OperatorServer {
  private constructor(private readonly server: ReturnType<typeof serve>) {}

  /** Starts a server; resolves once it listens. */
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

  /** Returns the port that the server listens on. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    // Idle keep-alive connections would delay the close event of the server.
    if ('closeAllConnections' in this.server) this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }
}

function buildApp({operatorKey, actions}: OperatorServerOptions): Hono {
  const app = new Hono();
  app.use('*', async (context, next) => {
    const header = context.req.header('authorization') ?? '';
    const presentedKey = header.startsWith('Bearer ') ? header.slice(7) : '';
    if (!compareKeys(presentedKey, operatorKey)) {
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
