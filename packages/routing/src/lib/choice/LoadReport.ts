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
}
