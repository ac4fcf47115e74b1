/** Estimates of the speed of a server in proportion to that of its service. */

/** Work that a server has done, and the time that it took. */
export interface SpeedSums {
  readonly work: number;
  readonly ms: number;
}

/**
 * Weight of the service's mean in an estimate, as milliseconds of work. Four
 * prompts of 4,000 tokens weigh as much; fewer say little about a server.
 */
const meanWeightMs = 400;
/** Bounds of an estimate, so that one with few samples can't exclude a server. */
const minSpeed = 0.25;
const maxSpeed = 4;

/**
 * Estimates the speed of a server as a multiple of its service's mean.
 *
 * @param own - sums of the server
 * @param service - sums of all servers of the service
 * @example
 * estimateSpeed({work: 8_000, ms: 400}, {work: 400_000, ms: 10_000}) === 0.75
 */
export function estimateSpeed(own: SpeedSums, service: SpeedSums): number {
  if (service.ms <= 0 || service.work <= 0) return 1;
  const meanRate = service.work / service.ms;
  const work = own.work + meanRate * meanWeightMs;
  const rate = work / (own.ms + meanWeightMs);
  return Math.min(maxSpeed, Math.max(minSpeed, rate / meanRate));
}

/** A first event, or the answer of a plain server. */
export interface SpeedSample {
  /** Work of the request itself. */
  readonly work: number;
  /** Work of the requests before it that the time contains. */
  readonly workBefore: number;
  /** Time from sending the request, without what isn't work. */
  readonly ms: number;
  /** Time that the selection of the server expected for this work. */
  readonly expectedMs: number;
  /** Slowness of the moment that the server reports, as a multiple of usual. */
  readonly slowness: number;
}

/**
 * A sample counts as at most this multiple of the expected time, and as at least
 * its inverse. Beyond it, the time shows a stall or a wrong estimate of what the
 * server had to do before, and one such sample would outweigh all others.
 */
const maxSampleDelayRatio = 4;

/**
 * Weight of a sample that took longer than the server usually takes. Much of that
 * time is a wait behind requests that the router didn't know of yet; with the
 * full weight, servers that few routers use at the same moment look faster. In a
 * trial with reports 120 ms late, such servers of even speed were taken for 1.5 to
 * 2.0 times as fast, and with this weight for 1.1 to 1.3 times.
 */
const lateSampleWeight = 0.2;

/**
 * Computes what a sample adds to the sums of its server. It weighs as its own
 * work, and less the larger the part of other work in its time: that work is an
 * estimate from late reports, and the samples of its own requests count it.
 *
 * @param usualMs - time that the server's sums give for all of the work;
 *     undefined while it has none
 * @example
 * scaleSample({work: 4_000, workBefore: 4_000, ms: 240, expectedMs: 200,
 *     slowness: 1.2}, 220) // {work: 2_000, ms: 50}
 */
export function scaleSample(
  sample: SpeedSample,
  usualMs = Infinity,
): SpeedSums {
  const {work, workBefore, ms, expectedMs, slowness} = sample;
  const boundedMs = Math.min(
    expectedMs * maxSampleDelayRatio,
    Math.max(expectedMs / maxSampleDelayRatio, ms),
  );
  const takenMs = boundedMs / slowness;
  const ownRatio = work / (work + workBefore);
  const weight = ownRatio * (takenMs > usualMs ? lateSampleWeight : 1);
  return {work: work * weight, ms: takenMs * ownRatio * weight};
}
