import type { CallSample } from './CallSample';

/**
 * Adaptive concurrency limit.
 *
 * @internal
 */
export interface AdaptiveLimit {
  /** @returns Number of calls that may run concurrently; at most the announced slots. */
  readonly current: () => number;
  /** Sets the announced slots. A restart of the upstream discards what was learned about the previous process. */
  readonly setSlots: (slots: number, coldStartMilliseconds: number, isRestart: boolean) => void;
  /** Adjusts the limit to an ended call. */
  readonly observe: (sample: CallSample) => void;
  /** Records that a call had to wait. The limit grows only if it is what holds calls back. */
  readonly recordSaturation: () => void;
}
