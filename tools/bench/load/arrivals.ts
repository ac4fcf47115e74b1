/** Seeded Poisson arrivals of an open-loop load. */
import {ClassKind} from '../../../src/config/configuration.js';
import {longJobFactor} from '../../../src/standins/answerText.js';
import {SeededRandom} from '../../../src/standins/seededRandom.js';
import {computeSeed} from './computeSeed.js';
import {
  computeFactor,
  computeMaxFactor,
  type ProfilePoint,
} from './loadProfile.js';

const minPromptCharacters = 100;
const maxPromptCharacters = 1_500;

/** Lengths of a stream's answers. */
export interface AnswerLengths {
  /** Mean tokens of a short answer; uniform from half to 1.5 times of it. */
  meanTokens: number;
  /** Share of jobs with 20 times as many tokens, 0 to 1. */
  longShare: number;
}

/** Requests of one class from one customer. */
export interface ArrivalStream {
  className: string;
  kind: ClassKind;
  customerId: string;
  /** Requests per second at factor 1. */
  ratePerSecond: number;
  profile: ProfilePoint[];
  lengths: AnswerLengths;
  /** Leaves the long jobs out; the short ones stay exactly the same. */
  withoutLong?: boolean;
}

/** One request of the load. */
export interface Arrival {
  /** Unique within a run; part of the prompt and of the operation key. */
  id: string;
  atMs: number;
  className: string;
  kind: ClassKind;
  customerId: string;
  /** Tokens of the answer; 0 for plain services. */
  tokens: number;
  isLong: boolean;
  promptCharacters: number;
}

/**
 * Generates the arrivals of all streams, in the order of time. A stream
 * depends only on the seed, its class and its customer.
 */
export function buildArrivals(
  seed: number,
  streams: readonly ArrivalStream[],
  durationMs: number,
): Arrival[] {
  return streams
    .flatMap(stream => buildStreamArrivals(seed, stream, durationMs))
    .sort((a, b) => a.atMs - b.atMs);
}

/** Computes the mean number of tokens, long jobs included. */
export function computeMeanTokens({
  meanTokens,
  longShare,
}: AnswerLengths): number {
  return meanTokens * (1 - longShare + longShare * longJobFactor);
}

/** Thins a process of the highest rate out to the rate at each time. */
function buildStreamArrivals(
  seed: number,
  stream: ArrivalStream,
  durationMs: number,
): Arrival[] {
  const {className, kind, customerId, profile} = stream;
  const random = new SeededRandom(computeSeed(seed, className, customerId));
  const maxFactor = computeMaxFactor(profile);
  const maxRate = stream.ratePerSecond * maxFactor;
  if (maxRate <= 0) return [];
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (let number = 0; ; number++) {
    atMs += (-Math.log(1 - random.draw()) * 1_000) / maxRate;
    if (atMs >= durationMs) return arrivals;
    // Draws are made for rejected arrivals, too, so that a changed profile
    // keeps the lengths of the arrivals that remain.
    const isKept = random.draw() * maxFactor < computeFactor(profile, atMs);
    const lengths = drawLengths(random, stream);
    if (!isKept || (lengths.isLong && stream.withoutLong)) continue;
    const id = `${className}-${customerId}-${number}`;
    arrivals.push({id, atMs, className, kind, customerId, ...lengths});
  }
}

function drawLengths(
  random: SeededRandom,
  {kind, lengths}: ArrivalStream,
): Pick<Arrival, 'tokens' | 'isLong' | 'promptCharacters'> {
  const lengthShare = random.draw();
  const isLong = random.draw() < lengths.longShare;
  const promptShare = random.draw();
  const {meanTokens} = lengths;
  const shortTokens = Math.max(1, Math.round(meanTokens * (0.5 + lengthShare)));
  return {
    tokens:
      kind === ClassKind.Service
        ? 0
        : isLong
          ? shortTokens * longJobFactor
          : shortTokens,
    isLong: isLong && kind === ClassKind.Model,
    promptCharacters: Math.round(
      minPromptCharacters +
        promptShare * (maxPromptCharacters - minPromptCharacters),
    ),
  };
}
