/**
 * Source of time and timers. Code takes the clock as an argument, so that tests control time.
 *
 * @public
 */
export interface Clock {
  /**
   * @returns Wall-clock time in milliseconds since the Unix epoch. It may jump.
   */
  readonly wallMilliseconds: () => number;

  /**
   * @returns Monotonic time in milliseconds since an arbitrary origin. It never decreases.
   */
  readonly monotonicMilliseconds: () => number;

  /**
   * Waits for a duration.
   *
   * @param milliseconds - Time to wait, in milliseconds.
   * @param signal - Ends the wait early; the promise then resolves normally.
   */
  readonly sleep: (milliseconds: number, signal?: AbortSignal) => Promise<void>;

  /**
   * Calls a function once after a delay, never earlier by {@link Clock.monotonicMilliseconds}.
   *
   * @param milliseconds - Delay, in milliseconds.
   * @param callback - Function to call.
   * @returns A function that cancels the timer.
   */
  readonly setTimer: (milliseconds: number, callback: () => void) => () => void;
}
