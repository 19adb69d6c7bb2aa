/**
 * Capacity announced by the upstream.
 *
 * @public
 */
export interface UpstreamCapacity {
  readonly state: 'starting' | 'ready' | 'draining' | 'left';
  readonly slots: number;
  /** Warm-up time after the upstream becomes ready, during which it is slower than usual, in milliseconds. */
  readonly coldStartMilliseconds: number;
  /** Target for the maximum queueing delay, in milliseconds. */
  readonly queueTargetMilliseconds: number;
}
