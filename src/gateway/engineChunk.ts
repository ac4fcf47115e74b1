/** Validation of the events that an engine streams. */
import type {EngineChunk} from '../protocol/engineApi.js';

/**
 * Parses and checks one event; undefined when it isn't a chunk.
 *
 * Accepts exactly what `engineChunkSchema` accepts. It is written by hand for
 * speed, because it runs for every token; a test compares it with the schema.
 *
 * @example
 * const chunk = parseEngineChunk(event.data);
 */
export function parseEngineChunk(data: string): EngineChunk | undefined {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch {
    return undefined;
  }
  return isEngineChunk(value) ? value : undefined;
}

/** True when a parsed event is a chunk. */
export function isEngineChunk(value: unknown): value is EngineChunk {
  if (!isRecord(value)) return false;
  const {choices} = value;
  return (
    typeof value.id === 'string' &&
    value.object === 'chat.completion.chunk' &&
    Number.isFinite(value.created) &&
    typeof value.model === 'string' &&
    Number.isSafeInteger(value.token_index) &&
    (value.token_index as number) >= 0 &&
    Array.isArray(choices) &&
    choices.length === 1 &&
    isChoice(choices[0])
  );
}

function isChoice(value: unknown): boolean {
  if (!isRecord(value) || value.index !== 0) return false;
  const {delta, finish_reason: reason} = value;
  return (
    isRecord(delta) &&
    (delta.role === undefined || delta.role === 'assistant') &&
    (delta.content === undefined || typeof delta.content === 'string') &&
    (reason === null || reason === 'stop' || reason === 'length')
  );
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
