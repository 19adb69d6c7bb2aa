/**
 * Tracks the calls that are running at the upstream.
 *
 * @internal
 */
export interface Slots {
  readonly running: () => number;
  /** @returns Whether another call may start. */
  readonly hasRoom: (limit: number, isIsolated: boolean) => boolean;
  readonly start: (isIsolated: boolean) => void;
  readonly end: (isIsolated: boolean) => void;
}

/**
 * @returns Slots of an idle upstream.
 * @internal
 */
export function createSlots(): Slots {
  let running = 0;
  let isIsolatedRunning = false;
  return {
    running: () => running,
    hasRoom: (limit, isIsolated) =>
      !isIsolatedRunning && running < (isIsolated ? Math.min(1, limit) : limit),
    start: (isIsolated) => {
      running += 1;
      isIsolatedRunning = isIsolated;
    },
    end: (isIsolated) => {
      running -= 1;
      if (isIsolated) isIsolatedRunning = false;
    },
  };
}
