/** Share of the slots available at the beginning of a cold start. */
const INITIAL_SHARE = 0.25;

/**
 * Upper bound of the concurrency limit: the announced slots, ramped up linearly during the cold start.
 *
 * @internal
 */
export interface ColdStartCeiling {
  readonly setSlots: (slots: number, coldStartMilliseconds: number, isRestart: boolean) => void;
  readonly current: () => number;
  readonly slots: () => number;
}

/**
 * @param now - Returns monotonic time in milliseconds.
 * @returns A ceiling that is zero until slots are announced.
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
