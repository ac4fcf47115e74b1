/**
 * A server in trouble answers with a body without end, in small chunks. The
 * router keeps each chunk as a buffer of its own, and its process ends when
 * these have filled the heap.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {clearInterval, setImmediate, setInterval} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {
  buildAddress,
  buildAnswerText,
  buildFields,
  CallerChannel,
  finishRun,
  measureOwnDelayMs,
  Recorder,
  RouterProcess,
  SoundServer,
  Store,
  waitForReady,
} from '../lib-2/testBed.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const pieceBytes = Number(process.env.PIECE ?? 1);
const recorder = new Recorder(fileURLToPath(new URL('.', import.meta.url)));
const zones = ['zone-a'];
const host = 'shop.example';
const timeoutMs = 4_000;
const store = await Store.start(buildAddress(2));
const servers = [];
const routers = [];

for (let number = 0; number < 4; number++) {
  const server = await SoundServer.start(buildAddress(100 + number), {
    id: `i-catalogue-${number}`,
    service: 'catalogue',
    zone: 'zone-a',
    slots: 48,
    workMs: 900,
  });
  servers.push(server);
  server.register(store);
}
store.put('op/config', {
  version: 7,
  routes: [
    {
      name: 'order-status',
      host,
      prefix: '/status/',
      routeType: 'safe',
      timeoutMs,
      goalMs: 386,
      priority: 2,
      service: 'catalogue',
      maxAttempts: 2,
      public: true,
    },
  ],
  services: [{name: 'catalogue', healthPath: '/healthz', maxConns: 192}],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
});
for (const number of [11, 12, 13, 14]) {
  const fields = buildFields({
    ...{number, zone: 'zone-a', zones},
    store: store.address,
    seeds: [11, 12, 13],
  });
  const router = new RouterProcess(fields, recorder);
  routers.push(router);
  router.start();
}
if (!(await waitForReady(routers))) {
  recorder.show('the routers did not become ready');
  await finishRun({routers, servers, store}, 2);
}

/** Writes an answer whose body never ends, as fast as it is read. */
const [troubled] = servers;
const piece = `${pieceBytes.toString(16)}\r\n${'x'.repeat(pieceBytes)}\r\n`;
const pieces = Buffer.from(piece.repeat(Math.ceil(65_536 / piece.length)));
function answerWithoutEnd({response, attemptId}) {
  const {socket} = response;
  recorder.write(`${troubled.id} begins a body without end for ${attemptId}`);
  const head = Object.entries(troubled.buildHead(attemptId));
  const lines = head.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  socket.on('error', () => undefined);
  socket.write(
    `HTTP/1.1 200 OK\r\n${lines}content-type: text/plain\r\n` +
      'transfer-encoding: chunked\r\n\r\n',
  );
  const write = () => {
    if (!socket.destroyed && socket.write(pieces)) setImmediate(write);
  };
  socket.on('drain', write);
  write();
  return true;
}

const results = [];
let isOver = false;
async function runCaller(index) {
  const channel = new CallerChannel(routers);
  for (let count = 0; !isOver; count++) {
    const attemptId = `c${index}n${count}`;
    const result = await channel.send({
      method: 'GET',
      path: `/status/${attemptId}`,
      headers: {host, 'attempt-id': attemptId},
      deadlineMs: timeoutMs + 2,
    });
    results.push({...result, attemptId});
    const arrived = servers
      .filter(({arrivals}) => arrivals.has(attemptId))
      .map(({id}) => id);
    recorder.write(
      `${attemptId} at ${result.address}: ${result.end} ${result.status} after ` +
        `${Math.round(result.ms)} ms, at ${arrived.join(' ') || 'no server'}`,
    );
    await delay(result.end === 'answer' ? 100 + Math.random() * 200 : 300);
  }
  channel.close();
}

const callers = Array.from({length: 140}, (_, index) => runCaller(index));
await delay(4_000);
if (hasTrouble) {
  recorder.show(`${troubled.id} is in trouble now`);
  troubled.work = answerWithoutEnd;
}
let peakMb = 0;
const watch = setInterval(() => {
  peakMb = Math.max(peakMb, ...routers.map(({memoryMb}) => memoryMb));
}, 20);
await delay(12_000);
clearInterval(watch);
troubled.work = undefined;
isOver = true;
await Promise.all(callers);

// Requests on kept channels that a sound server had, and whose channel ended.
const lost = results.filter(
  ({end, status, ms, isReused, attemptId}) =>
    end === 'closed' &&
    status === 0 &&
    ms < timeoutMs &&
    isReused &&
    servers.slice(1).some(({arrivals}) => arrivals.has(attemptId)) &&
    !troubled.arrivals.has(attemptId),
);
const wrong = results.filter(
  ({end, status, text, attemptId}) =>
    end === 'answer' && status === 200 && text !== buildAnswerText(attemptId),
);
const ownExits = routers.reduce((sum, {ownExits: e}) => sum + e.length, 0);
recorder.show(
  `${results.length} requests, ${results.filter(({status}) => status === 200).length} with success`,
);
recorder.show(`processes that ended by themselves: ${ownExits}`);
recorder.show(
  `longest delay of the stand-ins: ${Math.round(measureOwnDelayMs())} ms`,
);
recorder.show(`largest memory of a process: ${Math.round(peakMb)} MB`);
recorder.show(
  `requests on kept channels at a sound server, channel closed without an answer: ${lost.length}`,
);
recorder.show(`wrong answers: ${wrong.length}`);
const isBroken = lost.length > 3;
recorder.show(isBroken ? 'the rule is broken' : 'the rule holds');
await finishRun({routers, servers, store}, isBroken ? 1 : 0);
