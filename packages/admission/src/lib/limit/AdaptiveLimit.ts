import type { CallSample } from './CallSample';

/**
 * Adaptive concurrency limit.
 *
 * @internal
 */
export interface AdaptiveLimit {
  /** @returns Calls that may run at once; at most the announced slots. */
  readonly current: () => number;
  /** Sets the announced slots; a restart discards what was learned of the earlier process. */
  readonly setSlots: (slots: number, coldStartMilliseconds: number, isRestart: boolean) => void;
  /** Learns from the end of a call. */
  readonly observe: (sample: CallSample) => void;
  /** Notes that a call had to wait, so that the limit grows only where it is in the way. */
  readonly recordSaturation: () => void;
}
