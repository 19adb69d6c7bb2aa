import type { CallSample } from './CallSample';

/** Time that a window covers at least, in milliseconds. */
const MIN_WINDOW_MILLISECONDS = 100;

/** Samples after which a window's mean is steady enough to act on. */
const MIN_SAMPLES = 20;

/** Time after which a window ends with fewer samples, in milliseconds. */
const MAX_WINDOW_MILLISECONDS = 1_000;

/**
 * Samples gathered over one window.
 *
 * @internal
 */
export interface WindowSummary {
  /** Undefined when no sample tells about latency. */
  readonly meanMilliseconds: number | undefined;
  readonly failedShare: number;
  readonly shedShare: number;
  readonly elapsedMilliseconds: number;
}

/**
 * @internal
 */
export interface SampleWindow {
  readonly add: (sample: CallSample, countsForLatency: boolean) => void;
  /** @returns The summary if the window is complete; a new window then begins. */
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
    (elapsed >= MIN_WINDOW_MILLISECONDS && total >= MIN_SAMPLES) ||
    (elapsed >= MAX_WINDOW_MILLISECONDS && total > 0);

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
