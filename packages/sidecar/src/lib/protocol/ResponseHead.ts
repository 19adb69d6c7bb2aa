/**
 * Decoded headers of an upstream's response.
 *
 * @public
 */
export interface ResponseHead {
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether the upstream states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether the response has the signature header that upstreams add to each response they produce. */
  readonly isSigned: boolean;
  /** Calls per second that the upstream takes from all hosts together; undefined if it states no limit. */
  readonly limitPerSecond: number | undefined;
  /** Whether the upstream states that it is leaving. */
  readonly isLeaving: boolean;
}
