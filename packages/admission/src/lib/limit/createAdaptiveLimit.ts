import type { Clock } from '@buckthornslip/common';

import type { AdaptiveLimit } from './AdaptiveLimit';
import { createColdStartCeiling } from './createColdStartCeiling';
import { createLatencyBaseline } from './createLatencyBaseline';
import { createSampleWindow } from './createSampleWindow';
import type { WindowSummary } from './createSampleWindow';
import type { CallSample } from './CallSample';

/** Lower bound of the limit, as a share of the announced slots. */
const MINIMUM_LIMIT_SHARE = 0.1;

/** Highest ratio of latency to the baseline that counts as normal. */
const LATENCY_TOLERANCE = 1.8;

/** Share of failed calls above which the limit is reduced. */
const MAXIMUM_FAILED_SHARE = 0.3;

/**
 * Lower bound of the limit when only failures reduce it, as a share of the slots: they may have causes other than load.
 */
const FAILED_FLOOR_SHARE = 0.5;

/** Share of calls shed by the upstream above which the limit is reduced. */
const MAXIMUM_SHED_SHARE = 0.05;

/** Factor applied to the limit when too many calls fail or are shed. */
const ERROR_DECREASE_FACTOR = 0.8;

/** Smallest factor applied to the limit in one step because of latency. */
const MINIMUM_LATENCY_FACTOR = 0.5;

/** Factor by which the limit grows per window while calls wait for a slot. */
const GROWTH_FACTOR = 1.2;

/** Interval between probes, which check whether the baseline includes queueing inside the upstream, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 10_000;

/** Factor applied to the limit during a probe. */
const PROBE_FACTOR = 0.5;

/** Time after which a trial without enough samples is abandoned, in milliseconds. */
const MAXIMUM_TRIAL_MILLISECONDS = 5_000;

/** A trial succeeds if latency falls by at least this share of the relative reduction of the limit. */
const MINIMUM_LATENCY_EFFECT = 0.5;

/** A tentative reduction of the limit, kept only if latency falls. */
interface Trial {
  readonly startedMilliseconds: number;
  readonly earlierLimit: number;
  readonly earlierMeanMilliseconds: number;
  readonly isProbe: boolean;
}

/**
 * Creates an adaptive concurrency limit. Latency above the baseline reduces the limit tentatively. If latency falls
 * too, calls were queueing inside the upstream and the reduction is kept. If not, the upstream is slow for another
 * reason and a lower limit would only cost throughput, so the earlier limit is restored.
 *
 * @param clock - Source of time.
 * @param adaptsToLatency - Whether latency and failures adjust the limit. They don't indicate the load of an upstream
 *   that waits for calls of its own, which may be slow or fail for reasons elsewhere. Shed calls always reduce the
 *   limit.
 * @returns A limit that is zero until slots are announced.
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

  const floor = (): number =>
    Math.min(ceiling.slots(), Math.max(1, ceiling.slots() * MINIMUM_LIMIT_SHARE));
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
    const reduction = 1 - limit / ended.earlierLimit;
    const acceptableMean = ended.earlierMeanMilliseconds * (1 - MINIMUM_LATENCY_EFFECT * reduction);
    if (mean !== undefined && mean <= acceptableMean) {
      if (ended.isProbe) baseline.set(mean);
      return;
    }
    limit = ended.earlierLimit;
    if (mean !== undefined && !ended.isProbe) baseline.set(mean);
  };

  const lowerForErrors = (summary: WindowSummary): boolean => {
    // Without latency as a second signal, shed calls may have causes other than load, such as a faulty upstream.
    const shedFloor = adaptsToLatency ? floor() : ceiling.slots() * FAILED_FLOOR_SHARE;
    if (summary.shedShare > MAXIMUM_SHED_SHARE) lower(ERROR_DECREASE_FACTOR, shedFloor);
    else if (adaptsToLatency && summary.failedShare > MAXIMUM_FAILED_SHARE)
      lower(ERROR_DECREASE_FACTOR, ceiling.slots() * FAILED_FLOOR_SHARE);
    else return false;
    return true;
  };

  const adjustToLatency = (mean: number): void => {
    const normal = (baseline.current() ?? mean) * LATENCY_TOLERANCE;
    const isProbeDue = now() - lastProbe >= PROBE_INTERVAL_MILLISECONDS;
    if (mean > normal) beginTrial(Math.max(MINIMUM_LATENCY_FACTOR, normal / mean), mean, false);
    else if (isSaturated && isProbeDue && limit >= ceiling.slots())
      beginTrial(PROBE_FACTOR, mean, true);
    else if (isSaturated) limit = Math.min(ceiling.slots(), limit * GROWTH_FACTOR + 1);
  };

  const adjust = (summary: WindowSummary): void => {
    const { meanMilliseconds, elapsedMilliseconds } = summary;
    if (trial) {
      endTrial(trial, meanMilliseconds);
    } else if (lowerForErrors(summary)) {
      // Reduced for errors; the limit grows again in windows without them.
    } else if (!adaptsToLatency) {
      limit = Math.min(ceiling.slots(), limit * GROWTH_FACTOR + 1);
    } else if (meanMilliseconds !== undefined) {
      baseline.update(meanMilliseconds, elapsedMilliseconds);
      adjustToLatency(meanMilliseconds);
    }
    isSaturated = false;
  };

  /**
   * A cancelled call gives only a lower bound of its latency, so it counts only if it already exceeded the baseline.
   */
  const countsForLatency = (sample: CallSample): boolean => {
    if (sample.outcome === 'shed' || sample.outcome === 'failed') return false;
    const elapsed = sample.endedMilliseconds - sample.startedMilliseconds;
    return sample.outcome === 'completed' || elapsed > (baseline.current() ?? Infinity);
  };

  return {
    current: () => Math.floor(Math.min(Math.max(limit, floor()), ceiling.current())),
    setSlots: (slots, coldStartMilliseconds, isRestart) => {
      ceiling.setSlots(slots, coldStartMilliseconds, isRestart);
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
      else if (trial && now() - trial.startedMilliseconds > MAXIMUM_TRIAL_MILLISECONDS)
        endTrial(trial, undefined);
    },
    recordSaturation: () => {
      isSaturated = true;
    },
  };
}
