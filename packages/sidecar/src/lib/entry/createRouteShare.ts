import { createRankMix } from './createRankMix';

/**
 * Time constant with which reports are forgotten, in milliseconds. The few reports of one node vary, so that with a shorter time
 * the share grows by chance and more runs fail; a longer one delays the recovery.
 */
const REPORT_MEMORY_MILLISECONDS = 400;

/** Weight of the reports below which they say too little to change the share. */
const MINIMUM_EVIDENCE = 0.2;

/**
 * Time constant of the average of the share, in milliseconds. Reported runs were let through that long before on
 * average: the duration of a run and the memory of the counts.
 */
const FEEDBACK_MILLISECONDS = 700;

/** Time constant with which the share follows its target, in milliseconds; a faster one swings with late feedback. */
const FOLLOW_MILLISECONDS = 400;

/** Calls let through for each run that passed. Without headroom, growing capacity would be noticed only by chance. */
const HEADROOM_FACTOR = 1.03;

/**
 * Exponent of the average share. Below 1, nodes that see the same reports converge to the same share gradually,
 * whatever they started with. Lower values let more runs fail at small shares.
 */
const CONVERGENCE_EXPONENT = 0.97;

/** Share of passed runs from which the share grows, and from which it grows at its full speed. */
const FULL_SHARE = 0.97;
const SPARE_SHARE = 0.99;

/** Growth per second (exponent): from the lowest share to 1 in 0.5 s, since reports are late by about a second. */
const GROWTH_PER_SECOND = 5;

/**
 * Growth above the share that had capacity when runs were last refused, as a factor, until later reports confirm more capacity. Without
 * this bound the share of a fleet swings further: 0.76 to 0.99 instead of 0.77 to 0.94 of the calls at 1.7 times the load.
 */
const PROBE_FACTOR = 1.05;

/** Time for which reports must show spare capacity until the share may grow further, in milliseconds. */
const CONFIRM_MILLISECONDS = 500;

/** Time constant of the share that has capacity while runs are refused, in milliseconds. */
const KNOWN_MILLISECONDS = 800;

/** Time without reports after which the share grows, in milliseconds, and that growth per second (exponent). */
const STALE_MILLISECONDS = 1_000;
const STALE_GROWTH_PER_SECOND = 1;

/** Share of the calls of a route that is always let through, so that a recovery is detected. */
const MINIMUM_SHARE = 0.1;

/** Share of the calls of each rank that is always let through, since another rank may get capacity for another reason. */
const MINIMUM_RANK_SHARE = 0.03;

/** Share from which all calls are let through. */
const WHOLE_SHARE = 0.99;

/** Shortest interval between two updates and longest time that one of them covers, in milliseconds. */
const UPDATE_MILLISECONDS = 50;
const LONGEST_UPDATE_MILLISECONDS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Admission share of one route.
 *
 * @internal
 */
export interface RouteShare {
  /** Counts a call that arrived; refused ones count as well. */
  readonly countArrival: (rank: number) => void;
  /**
   * Adapts the share to the reports.
   *
   * @param now - Monotonic time, in milliseconds.
   * @returns Share of all calls of the route that is let through, 0 to 1.
   */
  readonly update: (now: number) => number;
  /** @returns Share of the calls of a rank that is let through; the most important ranks get the share first. */
  readonly shareOf: (rank: number) => number;
  /** @param passed - Share of the runs that passed, as reported by a serving node. */
  readonly record: (passed: number, now: number) => void;
  /** @returns Time of the last report of refused nested calls, in milliseconds. */
  readonly lowMilliseconds: () => number;
  /** @returns Time in which there is capacity for all calls of a rank if the share goes on growing, in milliseconds. */
  readonly millisecondsToCapacity: (rank: number) => number;
}

/**
 * @param startMilliseconds - Monotonic time, in milliseconds.
 * @returns A route of which all calls are let through.
 * @internal
 */
export function createRouteShare(startMilliseconds: number): RouteShare {
  const mix = createRankMix();
  let share = 1;
  let averageShare = 1;
  let evidence = 0;
  let passedSum = 0;
  let reportedMilliseconds = startMilliseconds;
  let updatedMilliseconds = startMilliseconds;
  let lowMilliseconds = startMilliseconds;
  let growthPerSecond = 0;
  let knownShare = 1;
  let spareMilliseconds = Number.POSITIVE_INFINITY;

  const limit = (wanted: number): number =>
    wanted >= WHOLE_SHARE ? 1 : Math.max(MINIMUM_SHARE, wanted);

  const grow = (growth: number, elapsed: number): void => {
    growthPerSecond = growth;
    share = limit(share * Math.exp((growth * elapsed) / MILLISECONDS_PER_SECOND));
  };

  const adapt = (passed: number, elapsed: number, now: number): void => {
    const spare = (passed - FULL_SHARE) / (SPARE_SHARE - FULL_SHARE);
    if (spare > 0) {
      spareMilliseconds = Math.min(spareMilliseconds, now);
      const isConfirmed = now - spareMilliseconds >= CONFIRM_MILLISECONDS;
      const before = share;
      grow(GROWTH_PER_SECOND * Math.min(1, spare), elapsed);
      if (!isConfirmed) share = Math.min(share, Math.max(before, knownShare * PROBE_FACTOR));
      return;
    }
    growthPerSecond = 0;
    spareMilliseconds = Number.POSITIVE_INFINITY;
    const measured = averageShare * passed;
    knownShare += (measured - knownShare) * (1 - Math.exp(-elapsed / KNOWN_MILLISECONDS));
    const target = averageShare ** CONVERGENCE_EXPONENT * passed * HEADROOM_FACTOR;
    share = limit(share + (target - share) * (1 - Math.exp(-elapsed / FOLLOW_MILLISECONDS)));
  };

  return {
    countArrival: mix.count,
    update: (now) => {
      const elapsed = Math.min(now - updatedMilliseconds, LONGEST_UPDATE_MILLISECONDS);
      if (elapsed < UPDATE_MILLISECONDS) return share;
      updatedMilliseconds = now;
      const age = now - reportedMilliseconds;
      const weight = evidence * Math.exp(-age / REPORT_MEMORY_MILLISECONDS);
      if (age >= STALE_MILLISECONDS) grow(STALE_GROWTH_PER_SECOND, elapsed);
      else if (weight >= MINIMUM_EVIDENCE) adapt(passedSum / evidence, elapsed, now);
      averageShare += (share - averageShare) * (1 - Math.exp(-elapsed / FEEDBACK_MILLISECONDS));
      return share;
    },
    shareOf: (rank) => {
      if (share >= 1) return 1;
      const before = mix.shareBefore(rank);
      const own = mix.shareBefore(rank + 1) - before;
      const left = share - before;
      return left >= own ? 1 : Math.max(MINIMUM_RANK_SHARE, left / own);
    },
    record: (report, now) => {
      const weight = Math.exp((reportedMilliseconds - now) / REPORT_MEMORY_MILLISECONDS);
      evidence = evidence * weight + 1;
      passedSum = passedSum * weight + report;
      reportedMilliseconds = now;
      if (report < SPARE_SHARE) lowMilliseconds = now;
    },
    lowMilliseconds: () => lowMilliseconds,
    millisecondsToCapacity: (rank) => {
      if (growthPerSecond === 0) return Number.POSITIVE_INFINITY;
      const growth = Math.log(mix.shareBefore(rank + 1) / share);
      return Math.max(0, (growth / growthPerSecond) * MILLISECONDS_PER_SECOND);
    },
  };
}
