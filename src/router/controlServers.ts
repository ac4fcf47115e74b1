/**
 * HTTP servers for readiness, addresses, peers and metrics, separate from the
 * one that callers send requests to.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Log} from '../node/log.js';
import type {MessageCodec} from './messageCodec.js';
import type {DeploymentStore} from './deploymentStore.js';
import {PeerPath} from './peerStateReader.js';
import type {RouterMetrics} from './routerMetrics.js';
import type {ServerDirectory} from './serverDirectory.js';

/** Answer of a control server. */
interface ControlAnswer {
  readonly status: number;
  readonly body?: string;
  readonly type?: string;
}

type ControlHandler = (url: URL) => ControlAnswer | Promise<ControlAnswer>;

/** Origin for parsing request targets, which are only a path. */
const placeholderOrigin = 'http://router';

/**
 * Time for which callers cache an address answer, in seconds. A shorter time
 * makes callers stop using failed routers sooner.
 */
const addressTtlSeconds = 1;

export interface ControlServersOptions {
  readonly codec: MessageCodec;
  readonly deployments: DeploymentStore;
  readonly servers: ServerDirectory;
  readonly metrics: RouterMetrics;
  readonly log: Log;
  readonly maxAddressTtlSeconds: number;
  readonly isReady: () => boolean;
  readonly listAddresses: (zone: string | undefined) => string[];
  /** Builds the state dump for operators. */
  readonly dump: () => object;
}

/** Opens one HTTP server per `host:port`. */
export class ControlServers {
  private readonly handlers = new Map<string, Map<string, ControlHandler>>();
  private readonly servers: http.Server[] = [];

  constructor(private readonly options: ControlServersOptions) {}

  /** Serves readiness at an endpoint. */
  addReady(endpoint: string): void {
    const {codec, isReady} = this.options;
    this.add(endpoint, codec.readyPath, () => ({
      status: isReady() ? 200 : 503,
    }));
  }

  /** Serves router addresses to callers. */
  addAddresses(endpoint: string): void {
    const {codec, listAddresses, maxAddressTtlSeconds} = this.options;
    const ttlSeconds = Math.min(addressTtlSeconds, maxAddressTtlSeconds);
    this.add(endpoint, codec.addressPath, url => {
      const {zone} = codec.decodeAddressQuery(url.searchParams);
      const addresses = listAddresses(zone);
      if (addresses.length === 0) return {status: 503};
      return buildJsonAnswer(codec.encodeAddresses(addresses, ttlSeconds));
    });
  }

  /** Serves the published state to other routers. */
  addPeers(endpoint: string): void {
    const {deployments, servers} = this.options;
    this.add(endpoint, PeerPath.Deployment, () => {
      const {document} = deployments;
      return document === undefined ? {status: 404} : buildJsonAnswer(document);
    });
    this.add(endpoint, PeerPath.Servers, () =>
      buildJsonAnswer(
        JSON.stringify({...servers.getView(), ageMs: servers.measureAgeMs()}),
      ),
    );
  }

  /** Serves metrics and the state dump. */
  addOperations(endpoint: string): void {
    const {metrics, dump} = this.options;
    this.add(endpoint, '/metrics', async () => ({
      status: 200,
      body: await metrics.format(),
      type: 'text/plain; version=0.0.4',
    }));
    this.add(endpoint, '/dump', () => buildJsonAnswer(JSON.stringify(dump())));
  }

  /** Listens at all endpoints. */
  async listen(): Promise<void> {
    for (const [endpoint, handlers] of this.handlers) {
      const [host, port] = endpoint.split(':');
      const server = http.createServer((request, response) => {
        answer(handlers, request, response).catch((error: unknown) => {
          const {url} = request;
          this.options.log.logError('control request failed', {
            url,
            error: String(error),
          });
          response.destroy();
        });
      });
      this.servers.push(server);
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), host, resolve);
      });
    }
  }

  /** Closes all servers and their connections. */
  close(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private add(endpoint: string, path: string, handler: ControlHandler): void {
    const handlers = this.handlers.get(endpoint) ?? new Map();
    handlers.set(path, handler);
    this.handlers.set(endpoint, handlers);
  }
}

function buildJsonAnswer(body: string): ControlAnswer {
  return {status: 200, body, type: 'application/json'};
}

/** Returns undefined for an invalid request target, such as `//`. */
function parseTarget(target = '/'): URL | undefined {
  return URL.canParse(target, placeholderOrigin)
    ? new URL(target, placeholderOrigin)
    : undefined;
}

async function answer(
  handlers: ReadonlyMap<string, ControlHandler>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  request.resume();
  const url = parseTarget(request.url);
  const handler = url && handlers.get(url.pathname);
  const unknown: ControlAnswer = {status: url ? 404 : 400};
  const {status, body, type} = handler ? await handler(url) : unknown;
  const headers: http.OutgoingHttpHeaders = {
    'content-length': Buffer.byteLength(body ?? ''),
  };
  if (type !== undefined) headers['content-type'] = type;
  response.writeHead(status, headers).end(body);
}
