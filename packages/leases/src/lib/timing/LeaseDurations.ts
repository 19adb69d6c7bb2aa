/**
 * Durations derived from the timing of leases, in milliseconds.
 *
 * @internal
 */
export interface LeaseDurations {
  readonly term: number;
  /** Time from sending a renewal to the end of the lease for the holder. */
  readonly holderTerm: number;
  readonly maximumOutage: number;
  /** Time without a change of the record after which a non-candidate may take over. */
  readonly nonCandidateWait: number;
  /** Interval between the renewals of a holder and between the reads of a candidate. */
  readonly renewalInterval: number;
  /** Interval between the reads of a non-candidate; longer, because their number grows with the fleet. */
  readonly nonCandidateInterval: number;
  readonly storeTimeout: number;
  readonly peerTimeout: number;
  /** Minimum time between two searches for the holder of the same partition. */
  readonly lookupInterval: number;
  /** Time for which a candidate removed on request is not chosen again. */
  readonly exclusion: number;
}
