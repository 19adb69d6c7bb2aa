/**
 * Durations derived from the timing of leases, in milliseconds.
 *
 * @internal
 */
export interface LeaseDurations {
  readonly term: number;
  /** Time from sending a renewal to the end of the hold. */
  readonly holderTerm: number;
  readonly maximumOutage: number;
  /** Time without a change after which a stranger may take over. */
  readonly nonCandidateWait: number;
  /** Pause between the renewals of a holder and between the reads of a candidate. */
  readonly renewalInterval: number;
  /** Pause between the reads of a stranger, whose number grows with the fleet. */
  readonly nonCandidateInterval: number;
  readonly storeTimeout: number;
  readonly peerTimeout: number;
  /** Shortest time between two searches for the holder of the same partition. */
  readonly lookupInterval: number;
  /** Time for which a removed candidate is not chosen again. */
  readonly exclusion: number;
}
