/**
 * Stand-in of a runner, a process of its own. It reports each request that it
 * runs on its standard output, as a line of JSON.
 *
 * Arguments: host, port, id, `engine` or `plain`, trouble, bytes a
 * second of the trouble.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import process from 'node:process';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

const [host, port, id, kind, trouble = 'none', rate = 'Infinity'] =
  process.argv.slice(2);
const bytesPerSecond = Number(rate);
const slots = kind === 'engine' ? 64 : 6;
const workMs = 60;
/** Time from the arrival of a deadly request to the crash. */
const crashDelayMs = 30;
const eventCount = 9;
const eventIntervalMs = 25;
/** Bytes that the trouble `chatter` writes at a time, as one chunk. */
const chatterLine = 'worker 3: waiting for the scheduler, 17 in its queue\n';

/** Part of a prompt on which an answer crashes the runner. */
const deadlyPart = 'dead';
/** Path of a request that crashes the runner. */
const deadlyPath = '/order/deadly';

let running = 0;
let isInTrouble = false;

// A line on the standard input begins or ends the trouble.
process.stdin.on('data', text => (isInTrouble = String(text).includes('on')));
process.stdin.on('end', () => process.exit());

function report(event, attemptId) {
  process.stdout.write(`${JSON.stringify({event, id, attemptId})}\n`);
}

function buildHead(attemptId, extra = {}) {
  return {
    'Attempt-Id': attemptId,
    'Runner-Stamp': `${id}.${attemptId}`,
    'Runner-Load': `${running},0,${slots}`,
    ...extra,
  };
}

/** Sends events until the last one; an event in each interval. */
function sendEvents(response, first) {
  let next = first;
  const timer = setInterval(() => {
    response.write(`id: ${next}\ndata: piece ${next} of the answer\n\n`);
    next += 1;
    if (next <= eventCount) return;
    clearInterval(timer);
    response.end();
  }, eventIntervalMs);
  response.once('close', () => clearInterval(timer));
}

/**
 * Writes the same piece again and again, each time as one chunk, until the
 * caller closes.
 *
 * @param bytesPerSecond - Infinity for as fast as the caller reads
 */
function sendWithoutEnd(response, piece, bytesPerSecond) {
  const size = Buffer.byteLength(piece).toString(16);
  const chunk = `${size}\r\n${piece}\r\n`;
  const {socket} = response;
  if (bytesPerSecond === Infinity) {
    const block = Buffer.from(chunk.repeat(1_000));
    const write = () => {
      while (!socket.destroyed && socket.write(block));
      if (!socket.destroyed) socket.once('drain', write);
    };
    write();
    return;
  }
  const intervalMs = 10;
  const count = Math.round(
    (bytesPerSecond * intervalMs) / 1_000 / piece.length,
  );
  const block = Buffer.from(chunk.repeat(count));
  const timer = setInterval(() => {
    if (socket.writableLength < block.length) socket.write(block);
  }, intervalMs);
  response.once('close', () => clearInterval(timer));
}

const server = http.createServer((request, response) => {
  request.on('error', () => undefined);
  request.resume();
  request.once('end', () => {
    const attemptId = request.headers['attempt-id'] ?? '';
    if (request.url === '/healthz') {
      response.writeHead(200, {'Instance-Id': id}).end();
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, buildHead(attemptId, {'Not-Executed': '1'}));
      response.end();
      return;
    }
    if (running >= slots) {
      response.writeHead(503, buildHead(attemptId, {'Not-Executed': '1'}));
      response.end();
      return;
    }
    running += 1;
    const parts = (request.headers['prompt-prefix'] ?? '').split(',');
    const isDeadly =
      trouble === 'deadly' &&
      (request.url === deadlyPath ||
        parts.some(part => part.startsWith(`${deadlyPart}:`)));
    report(isDeadly ? 'runs deadly' : 'runs', attemptId);
    if (isDeadly) {
      setTimeout(() => process.kill(process.pid, 'SIGKILL'), crashDelayMs);
      return;
    }
    response.once('close', () => {
      running -= 1;
      report(response.writableFinished ? 'ends' : 'is cut', attemptId);
    });
    if (isInTrouble && trouble === 'spoil') {
      isInTrouble = false;
      report('spoils the answer to', attemptId);
      response.socket.write(
        'HTTP/1.1 101 Switching Protocols\r\n' +
          `Attempt-Id: ${attemptId}\r\nRunner-Stamp: ${id}.${attemptId}\r\n\r\n`,
      );
    } else if (kind === 'engine') {
      const type = {'Content-Type': 'text/event-stream'};
      response.writeHead(200, buildHead(attemptId, type));
      response.flushHeaders();
      const after = Number(request.headers['last-event-id'] ?? 0);
      if (isInTrouble && trouble === 'chatter')
        sendWithoutEnd(response, chatterLine, bytesPerSecond);
      else sendEvents(response, after + 1);
    } else {
      setTimeout(() => {
        const body = `answer to ${attemptId} `.repeat(20);
        response.writeHead(200, buildHead(attemptId));
        response.end(body);
      }, workMs);
    }
  });
});
server.keepAliveTimeout = 8_000;
server.listen(Number(port), host, () => {
  process.stdout.write(`${JSON.stringify({event: 'listens', id})}\n`);
});
