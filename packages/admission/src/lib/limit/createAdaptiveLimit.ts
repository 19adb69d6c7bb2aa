import type { Clock } from '@buckthornslip/common';

import type { AdaptiveLimit } from './AdaptiveLimit';
import { createColdStartCeiling } from './createColdStartCeiling';
import { createLatencyBaseline } from './createLatencyBaseline';
import { createSampleWindow } from './createSampleWindow';
import type { WindowSummary } from './createSampleWindow';
import type { LatencySample } from './LatencySample';

/** Share of the announced slots below which the limit never falls. */
const FLOOR_SHARE = 0.1;

/** Ratio of latency to the baseline that still counts as normal. */
const LATENCY_TOLERANCE = 1.8;

/** Share of failed calls above which the limit falls. */
const FAILED_SHARE = 0.3;

/** Failed calls alone bring the limit down to this share of the slots: they may have causes other than load. */
const FAILED_FLOOR_SHARE = 0.5;

/** Share of calls shed by the upstream above which the limit falls. */
const SHED_SHARE = 0.05;

/** Factor by which the limit falls on errors. */
const ERROR_FACTOR = 0.8;

/** Smallest factor by which the limit falls in one step because of latency. */
const STEEPEST_FACTOR = 0.5;

/** Factor by which the limit grows in one window while calls wait. */
const GROWTH_FACTOR = 1.2;

/** Time between probes for queueing that is hidden in the baseline, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 10_000;

/** Factor of the limit during a probe. */
const PROBE_FACTOR = 0.5;

/** Time after which a trial without samples is given up, in milliseconds. */
const LONGEST_TRIAL_MILLISECONDS = 5_000;

/** A lower limit that has not changed latency by this share of its own change does not help. */
const HELPING_SHARE = 0.5;

/** A lower limit on trial: it stays only if it lowers latency. */
interface Trial {
  readonly startedMilliseconds: number;
  readonly earlierLimit: number;
  readonly earlierMeanMilliseconds: number;
  readonly isProbe: boolean;
}

/**
 * Creates an adaptive limit. Latency above the baseline lowers the limit on trial. If latency follows,
 * calls were queueing inside the upstream and the lower limit stays. If not, the upstream is slow for
 * another reason, a lower limit would only lose throughput, and the earlier limit comes back.
 *
 * @param clock - Source of time.
 * @param adaptsToLatency - Whether latency and failures move the limit. They say nothing about the load of an upstream that
 *   waits for calls of its own: these may be slow or fail for reasons elsewhere. Shed calls always move the limit.
 * @returns A limit of zero until slots are announced.
 * @internal
 */
export function createAdaptiveLimit(clock: Clock, adaptsToLatency = true): AdaptiveLimit {
  const now = clock.monotonicMilliseconds;
  const ceiling = createColdStartCeiling(now);
  const baseline = createLatencyBaseline();
  const window = createSampleWindow(now());
  let limit = 0;
  let trial: Trial | undefined;
  let lastProbe = now();
  let isSaturated = false;

  const floor = (): number => Math.min(ceiling.slots(), Math.max(1, ceiling.slots() * FLOOR_SHARE));
  const lower = (factor: number, lowest = floor()): void => {
    limit = Math.min(limit, Math.max(lowest, limit * factor));
  };

  const beginTrial = (factor: number, mean: number, isProbe: boolean): void => {
    const earlierLimit = limit;
    lower(factor);
    if (limit === earlierLimit) return;
    trial = {
      startedMilliseconds: now(),
      earlierLimit,
      earlierMeanMilliseconds: mean,
      isProbe,
    };
    window.restart(now());
  };

  const endTrial = (ended: Trial, mean: number | undefined): void => {
    trial = undefined;
    lastProbe = now();
    const loweredShare = 1 - limit / ended.earlierLimit;
    const helpful = ended.earlierMeanMilliseconds * (1 - HELPING_SHARE * loweredShare);
    if (mean !== undefined && mean <= helpful) {
      if (ended.isProbe) baseline.set(mean);
      return;
    }
    limit = ended.earlierLimit;
    if (mean !== undefined && !ended.isProbe) baseline.set(mean);
  };

  const lowerForErrors = (summary: WindowSummary): boolean => {
    // Without a sign from latency, shed calls may have causes other than load, such as a faulty upstream.
    const shedFloor = adaptsToLatency ? floor() : ceiling.slots() * FAILED_FLOOR_SHARE;
    if (summary.shedShare > SHED_SHARE) lower(ERROR_FACTOR, shedFloor);
    else if (adaptsToLatency && summary.failedShare > FAILED_SHARE)
      lower(ERROR_FACTOR, ceiling.slots() * FAILED_FLOOR_SHARE);
    else return false;
    return true;
  };

  const adjustToLatency = (mean: number): void => {
    const normal = (baseline.current() ?? mean) * LATENCY_TOLERANCE;
    const isProbeDue = now() - lastProbe >= PROBE_INTERVAL_MILLISECONDS;
    if (mean > normal) beginTrial(Math.max(STEEPEST_FACTOR, normal / mean), mean, false);
    else if (isSaturated && isProbeDue && limit >= ceiling.slots())
      beginTrial(PROBE_FACTOR, mean, true);
    else if (isSaturated) limit = Math.min(ceiling.slots(), limit * GROWTH_FACTOR + 1);
  };

  const adjust = (summary: WindowSummary): void => {
    const { meanMilliseconds, elapsedMilliseconds } = summary;
    if (trial) {
      endTrial(trial, meanMilliseconds);
    } else if (lowerForErrors(summary)) {
      // The limit grows again once the upstream sheds nothing.
    } else if (!adaptsToLatency) {
      limit = Math.min(ceiling.slots(), limit * GROWTH_FACTOR + 1);
    } else if (meanMilliseconds !== undefined) {
      baseline.follow(meanMilliseconds, elapsedMilliseconds);
      adjustToLatency(meanMilliseconds);
    }
    isSaturated = false;
  };

  /** A cancelled call tells only that its latency is at least the time that it ran. */
  const countsForLatency = (sample: LatencySample): boolean => {
    if (sample.outcome === 'shed' || sample.outcome === 'failed') return false;
    const elapsed = sample.endedMilliseconds - sample.startedMilliseconds;
    return sample.outcome === 'completed' || elapsed > (baseline.current() ?? Infinity);
  };

  return {
    current: () => Math.floor(Math.min(Math.max(limit, floor()), ceiling.current())),
    announce: (slots, coldStartMilliseconds, isRestart) => {
      ceiling.announce(slots, coldStartMilliseconds, isRestart);
      limit = isRestart ? ceiling.slots() : Math.min(limit, ceiling.slots());
      if (!isRestart) return;
      trial = undefined;
      lastProbe = now();
      baseline.set(undefined);
      window.restart(now());
    },
    observe: (sample) => {
      const isFromBeforeTrial = trial && sample.startedMilliseconds < trial.startedMilliseconds;
      if (!isFromBeforeTrial) window.add(sample, countsForLatency(sample));
      const summary = window.complete(now());
      if (summary) adjust(summary);
      else if (trial && now() - trial.startedMilliseconds > LONGEST_TRIAL_MILLISECONDS)
        endTrial(trial, undefined);
    },
    noteSaturated: () => {
      isSaturated = true;
    },
  };
}
