import type { Clock } from './Clock';

/**
 * A clock that tests advance manually.
 *
 * @public
 */
export interface FakeClock extends Clock {
  /**
   * Advances the time, firing due timers in order and letting pending promises settle in between.
   *
   * @param milliseconds - Duration, in milliseconds.
   */
  readonly advance: (milliseconds: number) => Promise<void>;

  /**
   * Steps only the wall clock, as an operator or NTP would.
   *
   * @param milliseconds - Step in milliseconds, which may be negative.
   */
  readonly stepWallClock: (milliseconds: number) => void;
}
