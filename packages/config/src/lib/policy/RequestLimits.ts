/**
 * Limits for the requests of callers.
 *
 * @public
 */
export interface RequestLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
  /** Maximum time to receive the head of a request, in milliseconds. */
  readonly headMilliseconds: number;
  /** Time after which an idle connection of a caller may be closed, in milliseconds. */
  readonly idleMilliseconds: number;
}
