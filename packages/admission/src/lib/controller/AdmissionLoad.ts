/**
 * Load of the local upstream.
 *
 * @public
 */
export interface AdmissionLoad {
  readonly running: number;
  readonly queued: number;
  /** Calls that may run at once; with a limit of calls per second, those that such a rate keeps running. */
  readonly limit: number;
  /**
   * Lowest priority rank that is refused before it queues; higher than every priority's rank when nothing is refused.
   */
  readonly cutoffRank: number;
  /** Expected remaining work of the running and the queued calls, in milliseconds at speed 1; only if it is estimated. */
  readonly workMilliseconds?: number;
  /** Speed of the upstream, 1 for an average one; only if it is estimated. */
  readonly speed?: number;
}
