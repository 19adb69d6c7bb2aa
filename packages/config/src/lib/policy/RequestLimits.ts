/**
 * Bounds on what a caller may send.
 *
 * @public
 */
export interface RequestLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
  /** Longest time for the head of a request, in milliseconds. */
  readonly headMilliseconds: number;
  /** Time after which an idle connection of a caller may be closed, in milliseconds. */
  readonly idleMilliseconds: number;
}
