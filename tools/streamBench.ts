/**
 * Measures the latency that the gateway's streaming path adds to a request. A
 * plain undici client and the chat service send alternating requests to the
 * same engine; all of them run in one process.
 *
 * Usage: node dist/tools/streamBench.js [requests] [tokens]
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {build} from 'hdr-histogram-js';
import {okAsync, type Result} from 'neverthrow';
import {Agent, request as sendRequest} from 'undici';
import {ClassKind} from '../src/config/configuration.js';
import {ChatService} from '../src/gateway/chatService.js';
import type {Lease, LeaseSource} from '../src/gateway/lease.js';
import type {RequestContext} from '../src/gateway/requestContext.js';
import {Log} from '../src/node/log.js';
import type {ChatRequest} from '../src/protocol/callerApi.js';
import type {Refusal} from '../src/protocol/refusal.js';

const warmUpRequests = 500;
const unitsPerMs = 1_000;

const request: ChatRequest = {
  model: 'm',
  stream: true,
  messages: [{role: 'user', content: 'x'.repeat(400)}],
};

/** Starts an engine that sends all tokens of its answer without delay. */
async function startEngine(tokens: number): Promise<http.Server> {
  const server = http.createServer((incoming, response) => {
    incoming.resume();
    incoming.once('end', () => {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      for (let index = 0; index < tokens; index++) {
        const chunk = {
          id: incoming.headers['x-request-id'],
          object: 'chat.completion.chunk',
          created: 1,
          model: 'm',
          token_index: index,
          choices: [
            {
              index: 0,
              delta: {content: 'word '},
              finish_reason: index === tokens - 1 ? 'stop' : null,
            },
          ],
        };
        response.write(`data: ${JSON.stringify(chunk)}\n\n`);
      }
      response.end('data: [DONE]\n\n');
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

function buildContext(index: number): RequestContext {
  const arrivedAtMs = performance.now();
  return {
    requestId: `r${index}`,
    customerId: 'acme',
    customer: {
      keySha256: '0'.repeat(64),
      classes: ['ask'],
      requestsPerSecond: 1,
      tokensPerSecond: 1,
      concurrentRequests: 1,
    },
    className: 'ask',
    requestClass: {
      kind: ClassKind.Model,
      tier: 0,
      minimumShare: 0,
      repeatable: false,
      firstTokenMs: 1_000,
      betweenTokensMs: 100,
      deadlineMs: 60_000,
    },
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + 60_000,
    signal: new AbortController().signal,
    log: new Log({}),
  };
}

/** Grants leases immediately, to exclude the round trip to a dispatcher. */
function createLeases(address: string): LeaseSource {
  return {
    acquire: (context): Promise<Result<Lease, Refusal>> => {
      const lease: Lease = {
        leaseId: context.requestId,
        backendServer: 'e0',
        address,
        priority: 0,
        tokens: 0,
        context,
        grantedAtMs: performance.now(),
        suspectCount: 0,
      };
      return Promise.resolve(okAsync<Lease, Refusal>(lease));
    },
    release: () => undefined,
  };
}

type RequestRunner = (index: number) => Promise<void>;

function createDirectRunner(address: string): RequestRunner {
  const dispatcher = new Agent({pipelining: 1});
  return async index => {
    const response = await sendRequest(
      `http://${address}/v1/chat/completions`,
      {
        method: 'POST',
        headers: {'x-request-id': `r${index}`},
        body: JSON.stringify(request),
        dispatcher,
      },
    );
    await response.body.text();
  };
}

function createChatServiceRunner(address: string): RequestRunner {
  const chat = new ChatService(createLeases(address));
  return async index => {
    let bytes = 0;
    const result = await chat.stream(
      buildContext(index),
      request,
      async chunk => {
        bytes += JSON.stringify(chunk).length;
      },
    );
    if (result.isErr()) throw result.error;
    if (bytes === 0) throw new Error('the chat service returned no chunks');
  };
}

async function measure(
  runs: Record<string, RequestRunner>,
  requests: number,
): Promise<void> {
  const histograms = new Map(
    Object.keys(runs).map(name => [name, build({bitBucketSize: 32})]),
  );
  for (let index = 0; index < warmUpRequests + requests; index++) {
    for (const [name, run] of Object.entries(runs)) {
      const startedAtMs = performance.now();
      await run(index);
      const durationMs = performance.now() - startedAtMs;
      if (index < warmUpRequests) continue;
      histograms.get(name)?.recordValue(Math.round(durationMs * unitsPerMs));
    }
  }
  for (const [name, histogram] of histograms) {
    const get = (p: number) => histogram.getValueAtPercentile(p) / unitsPerMs;
    console.log(
      `${name}: p50 ${get(50)} ms, p95 ${get(95)} ms, p99 ${get(99)} ms`,
    );
  }
}

const [requests = 3_000, tokens = 64] = process.argv.slice(2).map(Number);
const server = await startEngine(tokens);
const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
console.log(`${requests} requests of ${tokens} tokens each, one at a time`);
await measure(
  {
    bare: createDirectRunner(address),
    chatService: createChatServiceRunner(address),
  },
  requests,
);
server.closeAllConnections();
server.close();
process.exit(0);
