/** Share of the slots that a cold upstream gets at first. */
const INITIAL_SHARE = 0.25;

/**
 * Ceiling of the concurrency limit: the announced slots, ramped up over the cold start.
 *
 * @internal
 */
export interface ColdStartCeiling {
  readonly setSlots: (slots: number, coldStartMilliseconds: number, isRestart: boolean) => void;
  readonly current: () => number;
  readonly slots: () => number;
}

/**
 * @param now - Monotonic time in milliseconds.
 * @returns A ceiling of zero until the first announcement.
 * @internal
 */
export function createColdStartCeiling(now: () => number): ColdStartCeiling {
  let announcedSlots = 0;
  let rampStart = 0;
  let rampMilliseconds = 0;
  return {
    setSlots: (slots, coldStartMilliseconds, isRestart) => {
      announcedSlots = Math.max(0, Math.floor(slots));
      if (!isRestart) return;
      rampStart = now();
      rampMilliseconds = coldStartMilliseconds;
    },
    slots: () => announcedSlots,
    current: () => {
      const progress = rampMilliseconds > 0 ? (now() - rampStart) / rampMilliseconds : 1;
      const share = Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * progress);
      return Math.min(announcedSlots, Math.max(1, announcedSlots * share));
    },
  };
}
