import type { Observable } from 'rxjs';

/**
 * Fault injection switches of a test store.
 *
 * @public
 */
export interface StoreFaults {
  /** While down, every request fails with `unavailable`, and watches are disconnected. */
  readonly setDown: (down: boolean) => void;
  readonly isDown: () => boolean;

  /** Emits the current state and each change of it. */
  readonly downChanges: Observable<boolean>;

  /** Sets the delay before each request takes effect, in milliseconds; 0 for none. */
  readonly setSlow: (milliseconds: number) => void;
  readonly slowMilliseconds: () => number;

  /** Drops the responses of the next writes, which still take effect. */
  readonly loseWriteResponses: (count: number) => void;

  /** @returns Whether the response must be dropped; if so, it counts as one of those to drop. */
  readonly takeLostResponse: () => boolean;
}
