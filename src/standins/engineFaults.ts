/** Faults that can be injected into the model engine stand-in. */
import {z} from 'zod';
import type {ChatMessage} from '../protocol/callerApi.js';
import type {StreamFaults} from './engineStream.js';
import {millisecondsSchema} from './options.js';
import {SilenceScope} from './standinServer.js';

/** What is swapped between two crossed answers. */
export enum CrossedPart {
  /** Each connection gets the chunks of the other answer with their id. */
  Chunks = 'chunks',
  /** Each connection gets its own chunks with the id of the other answer. */
  Ids = 'ids',
}

const countSchema = z.number().int().nonnegative();

export const engineFaultsSchema = z.strictObject({
  /** Factor on the time between tokens. */
  slowFactor: z.number().positive(),
  silence: z.enum(SilenceScope),
  /** A request with this text in a message is a poison request. */
  poisonText: z.string().min(1).nullable(),
  /** Time from the start of a poison request to the engine's crash. */
  poisonDelayMs: millisecondsSchema,
  /** Delay of the events of all streams. */
  answerDelayMs: millisecondsSchema,
  /** Number of pairs of running requests whose answers to cross. */
  crossNextPairs: countSchema,
  crossedPart: z.enum(CrossedPart),
  /** Number of next requests whose chunks are each sent twice. */
  duplicateNextStreams: countSchema,
  /** Number of next requests whose streams end without `[DONE]`. */
  cutNextStreams: countSchema,
  /** Number of chunks that such a stream sends. */
  cutAfterChunks: countSchema,
});
export type EngineFaults = z.output<typeof engineFaultsSchema>;

/** Body of `POST /control`; omitted fields are unchanged. */
export const engineControlSchema = engineFaultsSchema.partial().extend({
  /** Clears all faults first; silenced connections stay silent. */
  reset: z.boolean().optional(),
  /** Crashes the engine after the answer. */
  crash: z.boolean().optional(),
  /** Overrides the option `restartMs` for this crash. */
  restartMs: millisecondsSchema.optional(),
});

/** Returns the state without faults. */
export function buildEngineFaults(): EngineFaults {
  return {
    slowFactor: 1,
    silence: SilenceScope.None,
    poisonText: null,
    poisonDelayMs: 50,
    answerDelayMs: 0,
    crossNextPairs: 0,
    crossedPart: CrossedPart.Chunks,
    duplicateNextStreams: 0,
    cutNextStreams: 0,
    cutAfterChunks: 3,
  };
}

/** Returns the faults of the next stream and decrements their counts. */
export function takeStreamFaults(faults: EngineFaults): StreamFaults {
  const isDuplicated = faults.duplicateNextStreams > 0;
  const isCut = faults.cutNextStreams > 0;
  if (isDuplicated) faults.duplicateNextStreams -= 1;
  if (isCut) faults.cutNextStreams -= 1;
  return {
    isDuplicated,
    cutAfterChunks: isCut ? faults.cutAfterChunks : Infinity,
  };
}

/** Returns whether a message contains the poison text. */
export function hasPoison(
  {poisonText}: EngineFaults,
  messages: readonly ChatMessage[],
): boolean {
  if (poisonText === null) return false;
  return messages.some(message => message.content.includes(poisonText));
}
