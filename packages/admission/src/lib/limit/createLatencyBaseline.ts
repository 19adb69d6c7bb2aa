/** Time constant of the moving average when latency is above the baseline, in milliseconds. */
const RISE_TIME_CONSTANT_MILLISECONDS = 30_000;

/** Weight of a window's mean when latency is below the baseline. */
const FALL_SHARE = 0.3;

/**
 * Estimated latency of the upstream when calls don't queue inside it. It follows lower latency quickly and higher
 * latency slowly.
 *
 * @internal
 */
export interface LatencyBaseline {
  /** @returns The baseline, or undefined before the first sample. */
  readonly current: () => number | undefined;
  readonly update: (meanMilliseconds: number, elapsedMilliseconds: number) => void;
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
    update: (mean, elapsed) => {
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
