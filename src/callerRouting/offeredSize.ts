/** Number of offered routers over time. */
import {
  chooseSize,
  isEnough,
  listUses,
  type RouterCapacity,
  type SizeUse,
  type ZoneDemand,
} from './routerSizing.js';

/**
 * A smaller number must have sufficed for this long, in milliseconds. Longer
 * than the sums of the fleet are late (2.5 s), so that routers that hear of a
 * peak at different times keep the same number.
 */
export const holdMs = 5_000;
/**
 * A step leaves at least this ratio of the routers. From 46 routers, 2 are
 * reached in five steps; if the demand returns meanwhile, half are still there.
 */
const minStepRatio = 0.5;

/**
 * For this long after a change, the sums may count callers that have moved
 * twice, in milliseconds: at the routers they left, whose last reports are that
 * old, and at those they use now. A step would otherwise be taken back at once,
 * again and again.
 */
const settleMs = 2_500;
/** Growth in that time needs a use that counting twice doesn't explain. */
const settleMaxUse = 2;

/** Why the number of offered routers has changed. */
export enum SizeReason {
  /** The routers with fast links are always offered, and at least two. */
  Minimum = 'minimum',
  /** The offered routers would have to carry too much. */
  Demand = 'demand',
  /** No number suffices; the one with the least use was chosen. */
  Overload = 'overload',
  /** Fewer routers would have sufficed for some time. */
  SpareCapacity = 'spareCapacity',
  /** There are fewer routers. */
  RoutersLost = 'routersLost',
}

/** State of the routers and callers of a zone. */
export interface SizeInput {
  /** Live routers in the order in which they are offered. */
  readonly routers: readonly RouterCapacity[];
  /** Smallest number to offer, at most that of all routers. */
  readonly minSize: number;
  readonly demand: ZoneDemand;
}

export interface SizeChange {
  readonly reason: SizeReason;
  readonly from: number;
  readonly to: SizeUse;
}

interface Sample {
  readonly atMs: number;
  readonly demand: ZoneDemand;
}

/**
 * Keeps the number of offered routers. It grows at once and shrinks in steps.
 * What it is depends only on the demand of the last few seconds and the steps
 * since, so that routers with the same sums arrive at the same number whenever
 * they have started.
 *
 * @example
 * const change = offeredSize.update({routers, minSize: 2, demand});
 * routers.slice(0, offeredSize.size);
 */
export class OfferedSize {
  private current = 0;
  private reason = SizeReason.Minimum;
  private changedAtMs = performance.now();
  /** When callers were last made to move for another reason than the minimum. */
  private movedAtMs = -Infinity;
  private readonly startedAtMs = performance.now();
  private samples: Sample[] = [];

  get size(): number {
    return this.current;
  }

  /** Adapts the number; returns the change, if there is one. */
  update(input: SizeInput): SizeChange | undefined {
    this.recordDemand(input.demand);
    const uses = listUses(input.routers, input.demand);
    const from = this.current;
    const known = Math.min(from, uses.length);
    const floor = Math.max(known, input.minSize);
    const isSettling = performance.now() - this.movedAtMs < settleMs;
    const floorUse = uses.at(floor - 1);
    const isHeld = isSettling && floorUse && floorUse.use <= settleMaxUse;
    const grown = isHeld ? floorUse : chooseSize(uses, floor);
    if (!grown) {
      this.current = 0;
      return undefined;
    }
    if (grown.size > known) {
      return this.recordChange(classifyGrowth(grown, input.minSize), grown);
    }
    const target = this.findStep(known, input);
    if (target !== undefined) {
      return this.recordChange(SizeReason.SpareCapacity, uses[target - 1]);
    }
    if (known < from) return this.recordChange(SizeReason.RoutersLost, grown);
    return undefined;
  }

  private recordChange(reason: SizeReason, to: SizeUse): SizeChange {
    const from = this.current;
    this.current = to.size;
    this.reason = reason;
    this.changedAtMs = performance.now();
    if (reason !== SizeReason.Minimum) this.movedAtMs = this.changedAtMs;
    return {reason, from, to};
  }

  /** Returns the next smaller number; undefined while none has sufficed. */
  private findStep(
    size: number,
    {routers, minSize}: SizeInput,
  ): number | undefined {
    const uses = listUses(routers, this.computePeak());
    const target = chooseSize(uses, minSize);
    if (!target || target.size >= size) return undefined;
    const nowMs = performance.now();
    const isStarting = nowMs - this.startedAtMs < holdMs;
    const isByDemand = this.reason !== SizeReason.Minimum;
    // Until a starting router knows the routers with fast links, it takes
    // others for these.
    if (isStarting && !isByDemand) return target.size;
    if (nowMs - this.changedAtMs < holdMs) return undefined;
    // Without a demand to return, steps would only keep callers longer with slow
    // routers once those with fast links are back.
    if (!isByDemand || !isEnough(target)) return target.size;
    const minStep = Math.ceil(size * minStepRatio);
    const step = chooseSize(
      uses.slice(0, size - 1),
      Math.max(minStep, target.size),
    );
    return step && isEnough(step) ? step.size : target.size;
  }

  private recordDemand(demand: ZoneDemand): void {
    const nowMs = performance.now();
    this.samples = this.samples.filter(({atMs}) => nowMs - atMs < holdMs);
    this.samples.push({atMs: nowMs, demand});
  }

  /** Returns the highest demand of each resource in the last few seconds. */
  private computePeak(): ZoneDemand {
    const demands = this.samples.map(({demand}) => demand);
    return {
      kbps: Math.max(...demands.map(({kbps}) => kbps)),
      milliCores: Math.max(...demands.map(({milliCores}) => milliCores)),
    };
  }
}

function classifyGrowth(grown: SizeUse, minSize: number): SizeReason {
  if (grown.size === minSize) return SizeReason.Minimum;
  return isEnough(grown) ? SizeReason.Demand : SizeReason.Overload;
}
