/** Faults of the model engine stand-in. */
import {z} from 'zod';
import type {ChatMessage} from '../protocol/callerApi.js';
import type {StreamFaults} from './engineStream.js';
import {millisecondsSchema} from './options.js';
import {SilenceScope} from './standinServer.js';

/** What two crossed answers exchange. */
export enum CrossedPart {
  /** Each connection gets the other's chunks, with the other's id. */
  Chunks = 'chunks',
  /** Each connection gets its own chunks, with the other's id. */
  Ids = 'ids',
}

const countSchema = z.number().int().nonnegative();

export const engineFaultsSchema = z.strictObject({
  /** Multiplies the time between tokens. */
  slowFactor: z.number().positive(),
  silence: z.enum(SilenceScope),
  /** A request with this text in a message crashes the engine. */
  poisonText: z.string().min(1).nullable(),
  /** Time from the start of a poison request to the crash. */
  poisonDelayMs: millisecondsSchema,
  /** Time that the events of all streams are held back. */
  answerDelayMs: millisecondsSchema,
  /** Pairs of running requests whose answers are yet to be crossed. */
  crossNextPairs: countSchema,
  crossedPart: z.enum(CrossedPart),
  /** Coming requests whose chunks are each sent twice. */
  duplicateNextStreams: countSchema,
  /** Coming requests whose streams end without `[DONE]`. */
  cutNextStreams: countSchema,
  /** Chunks that a cut stream sends. */
  cutAfterChunks: countSchema,
});
export type EngineFaults = z.output<typeof engineFaultsSchema>;

/** `POST /control`; members that are left out stay as they are. */
export const engineControlSchema = engineFaultsSchema.partial().extend({
  /** Ends all other faults first; silent connections stay silent. */
  reset: z.boolean().optional(),
  /** Crashes the engine after the answer. */
  crash: z.boolean().optional(),
  /** Overrides the option for this crash. */
  restartMs: millisecondsSchema.optional(),
});

/** Returns faults that do nothing. */
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

/** Takes the faults of the next stream off the counts. */
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

/** True when a message contains the poison text. */
export function hasPoison(
  {poisonText}: EngineFaults,
  messages: readonly ChatMessage[],
): boolean {
  if (poisonText === null) return false;
  return messages.some(message => message.content.includes(poisonText));
}
