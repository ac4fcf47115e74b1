/** Streams of the model engine stand-in to its clients. */
import type {ServerResponse} from 'node:http';
import type {EngineChunk} from '../protocol/engineApi.js';

/** Server-sent events on one connection. */
export class EngineStream {
  private closed = false;

  /** @param onClose - called when the client closes before the end */
  constructor(
    private readonly response: ServerResponse,
    requestId: string,
    onClose: () => void,
  ) {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': requestId,
    });
    response.flushHeaders();
    response.once('close', () => {
      if (this.closed) return;
      this.closed = true;
      onClose();
    });
  }

  /** Sends a chunk. */
  send(chunk: EngineChunk): void {
    if (this.closed) return;
    this.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }

  /** Ends the answer; without `isComplete` the `[DONE]` event is left out. */
  end(isComplete: boolean): void {
    if (this.closed) return;
    this.closed = true;
    this.response.end(isComplete ? 'data: [DONE]\n\n' : undefined);
  }
}
