import type { LeaseDurations } from './LeaseDurations';
import type { LeaseTiming } from './LeaseTiming';

/**
 * @param timing - Timing of leases.
 * @returns The durations derived from them.
 * @internal
 */
export function deriveLeaseDurations(timing: LeaseTiming): LeaseDurations {
  const { termMilliseconds: term, marginFraction, maximumOutageMilliseconds } = timing;
  return {
    term,
    holderTerm: term * (1 - marginFraction),
    maximumOutage: maximumOutageMilliseconds,
    nonCandidateWait: maximumOutageMilliseconds * (1 + marginFraction),
    renewalInterval: term / 3,
    nonCandidateInterval: Math.max(term / 3, maximumOutageMilliseconds / 30),
    // A failed renewal (term/6) and a round of extension requests with one retry (term/9) fit between two
    // renewals.
    storeTimeout: term / 6,
    peerTimeout: term / 18,
    lookupInterval: term / 9,
    exclusion: term * 6,
  };
}
