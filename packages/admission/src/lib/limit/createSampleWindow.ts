import type { CallSample } from './CallSample';

/** Minimum length of a window, in milliseconds. */
const MINIMUM_WINDOW_MILLISECONDS = 100;

/** Number of samples from which on a window's mean is stable enough to act on. */
const MINIMUM_SAMPLES = 20;

/** Time after which a window ends even with fewer samples, in milliseconds. */
const MAXIMUM_WINDOW_MILLISECONDS = 1_000;

/**
 * Summary of the calls that ended in one window.
 *
 * @internal
 */
export interface WindowSummary {
  /** Mean latency; undefined if no sample counts for latency. */
  readonly meanMilliseconds: number | undefined;
  readonly failedShare: number;
  readonly shedShare: number;
  readonly elapsedMilliseconds: number;
}

/**
 * Window over the calls that end.
 *
 * @internal
 */
export interface SampleWindow {
  readonly add: (sample: CallSample, countsForLatency: boolean) => void;
  /** @returns The summary if the window is complete, in which case a new window starts. */
  readonly complete: (nowMilliseconds: number) => WindowSummary | undefined;
  readonly restart: (nowMilliseconds: number) => void;
}

/**
 * @param startMilliseconds - Start of the first window.
 * @returns An empty window.
 * @internal
 */
export function createSampleWindow(startMilliseconds: number): SampleWindow {
  let windowStart = startMilliseconds;
  let total = 0;
  let latencyCount = 0;
  let latencySum = 0;
  let failed = 0;
  let shed = 0;

  const restart = (nowMilliseconds: number): void => {
    windowStart = nowMilliseconds;
    total = 0;
    latencyCount = 0;
    latencySum = 0;
    failed = 0;
    shed = 0;
  };

  const isComplete = (elapsed: number): boolean =>
    (elapsed >= MINIMUM_WINDOW_MILLISECONDS && total >= MINIMUM_SAMPLES) ||
    (elapsed >= MAXIMUM_WINDOW_MILLISECONDS && total > 0);

  return {
    add: (sample, countsForLatency) => {
      total += 1;
      if (sample.outcome === 'failed') failed += 1;
      if (sample.outcome === 'shed') shed += 1;
      if (!countsForLatency) return;
      latencyCount += 1;
      latencySum += sample.endedMilliseconds - sample.startedMilliseconds;
    },
    complete: (nowMilliseconds) => {
      const elapsedMilliseconds = nowMilliseconds - windowStart;
      if (!isComplete(elapsedMilliseconds)) return undefined;
      const summary = {
        meanMilliseconds: latencyCount > 0 ? latencySum / latencyCount : undefined,
        failedShare: failed / total,
        shedShare: shed / total,
        elapsedMilliseconds,
      };
      restart(nowMilliseconds);
      return summary;
    },
    restart,
  };
}
