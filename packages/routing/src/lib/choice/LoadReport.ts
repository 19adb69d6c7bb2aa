/**
 * Load of a serving node, carried by each of its answers.
 *
 * @public
 */
export interface LoadReport {
  /** Calls running at the upstream. */
  readonly running: number;
  /** Calls waiting in the node's queue. */
  readonly queued: number;
  /** Current concurrency limit. */
  readonly limit: number;
  /**
   * Lowest priority rank that is refused before it queues; higher than every priority's rank when nothing is refused.
   */
  readonly cutoffRank: number;
  /** Expected remaining service time of the running and the queued calls, in milliseconds; undefined if it is not estimated. */
  readonly workMilliseconds?: number | undefined;
  /**
   * Service time of the same calls on an average upstream of the service, divided by that on this one; undefined if it is not
   * known. Above 1 for a fast upstream.
   */
  readonly speed?: number | undefined;
}
