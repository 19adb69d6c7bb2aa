/** Time constant with which the baseline follows higher latency, in milliseconds. */
const RISE_TIME_CONSTANT_MILLISECONDS = 30_000;

/** Share of the difference by which the baseline follows lower latency in one window. */
const FALL_SHARE = 0.3;

/**
 * Latency of the upstream when calls do not queue inside it: it falls quickly and rises slowly.
 *
 * @internal
 */
export interface LatencyBaseline {
  /** @returns The baseline, or undefined before the first sample. */
  readonly current: () => number | undefined;
  readonly follow: (meanMilliseconds: number, elapsedMilliseconds: number) => void;
  readonly set: (milliseconds: number | undefined) => void;
}

/**
 * @returns A baseline without samples.
 * @internal
 */
export function createLatencyBaseline(): LatencyBaseline {
  let baseline: number | undefined;
  return {
    current: () => baseline,
    follow: (mean, elapsed) => {
      if (baseline === undefined) {
        baseline = mean;
        return;
      }
      const share =
        mean < baseline ? FALL_SHARE : 1 - Math.exp(-elapsed / RISE_TIME_CONSTANT_MILLISECONDS);
      baseline += (mean - baseline) * share;
    },
    set: (milliseconds) => {
      baseline = milliseconds;
    },
  };
}
