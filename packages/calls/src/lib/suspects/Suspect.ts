/**
 * A request that was running when an upstream's process failed, as shared between the nodes of a service.
 *
 * @public
 */
export interface Suspect {
  readonly fingerprint: string;
  /** Number of upstream failures while the request was running. */
  readonly failures: number;
  /** What identifies these failures, so that one that several nodes report counts once; absent if it is unknown. */
  readonly failureIds?: readonly string[];
  /** Failures that count no longer, because an upstream has answered the request since. */
  readonly clearedIds?: readonly string[];
  /** Time for which a node that is told later keeps it, in milliseconds; by default the time of a new failure. */
  readonly remainingMilliseconds?: number;
}
