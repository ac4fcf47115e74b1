/** Reads and parses request bodies with limits on size, depth and time. */
import {err, ok, type Result} from 'neverthrow';
import {InputBuffer} from '../input/inputBuffer.js';
import {maxBodyBytes, maxBodyDepth} from '../protocol/callerApi.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';

/** Time within which the whole body must arrive. */
export const bodyDeadlineMs = 10_000;

/** Reads a whole body; refuses one that is too large or too slow. */
export async function readBody(
  request: Request,
  deadlineMs = bodyDeadlineMs,
): Promise<Result<Buffer, Refusal>> {
  const contentLength = Number(request.headers.get('content-length') ?? 0);
  if (contentLength > maxBodyBytes) return err(buildTooLargeRefusal());
  if (!request.body) return ok(Buffer.alloc(0));
  const reader = request.body.getReader();
  const timedOut = Symbol('timedOut');
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<typeof timedOut>(resolve => {
    timer = setTimeout(() => resolve(timedOut), deadlineMs);
  });
  const buffer = new InputBuffer();
  try {
    for (;;) {
      const next = await Promise.race([reader.read(), timeout]);
      if (next === timedOut) return err(buildTimeoutRefusal(deadlineMs));
      if (next.done) return ok(buffer.take());
      const bytes = buffer.length + next.value.byteLength;
      if (bytes > maxBodyBytes) return err(buildTooLargeRefusal());
      buffer.append(next.value);
    }
  } catch (cause) {
    return err(buildMalformedRefusal('the body did not arrive whole', cause));
  } finally {
    clearTimeout(timer);
    reader.releaseLock();
  }
}

/** Parses a JSON body; refuses one that is nested too deeply. */
export function parseJsonBody(
  contentType: string | null,
  body: Buffer,
): Result<unknown, Refusal> {
  if (!/^application\/json\s*(;|$)/i.test(contentType ?? '')) {
    return err(
      buildMalformedRefusal('the content type must be application/json'),
    );
  }
  let text: string;
  try {
    text = new TextDecoder('utf-8', {fatal: true}).decode(body);
  } catch (cause) {
    return err(buildMalformedRefusal('the body is not valid UTF-8', cause));
  }
  if (measureDepth(text) > maxBodyDepth) {
    return err(
      new Refusal(
        RefusalReason.BodyTooDeep,
        Outcome.NotRun,
        `the body is nested deeper than ${maxBodyDepth} levels`,
      ),
    );
  }
  try {
    return ok(JSON.parse(text));
  } catch {
    // The parser's message quotes the body, which may hold prompt text.
    return err(buildMalformedRefusal('the body is not valid JSON'));
  }
}

/**
 * Returns the nesting depth of JSON text. It works without recursion, so deep
 * input can't overflow the stack, and ignores brackets inside strings.
 *
 * @example
 * measureDepth('{"a": [1, "]["]}') === 2
 */
export function measureDepth(text: string): number {
  let depth = 0;
  let maxDepth = 0;
  let inString = false;
  for (let i = 0; i < text.length; i++) {
    const character = text[i];
    if (inString) {
      if (character === '\\') i += 1;
      else if (character === '"') inString = false;
      continue;
    }
    if (character === '"') inString = true;
    else if (character === '{' || character === '[') depth += 1;
    else if (character === '}' || character === ']') depth -= 1;
    maxDepth = Math.max(maxDepth, depth);
  }
  return maxDepth;
}

/** Builds the refusal of a body that its route can't parse. */
export function buildMalformedRefusal(
  message: string,
  cause?: unknown,
): Refusal {
  return new Refusal(RefusalReason.MalformedBody, Outcome.NotRun, message, {
    cause,
  });
}

function buildTooLargeRefusal(): Refusal {
  return new Refusal(
    RefusalReason.BodyTooLarge,
    Outcome.NotRun,
    `the body is larger than ${maxBodyBytes} bytes`,
  );
}

function buildTimeoutRefusal(deadlineMs: number): Refusal {
  return new Refusal(
    RefusalReason.DeadlineExceeded,
    Outcome.NotRun,
    `the body did not arrive within ${Math.round(deadlineMs)} ms`,
  );
}
