import type { RegionId } from '@buckthornslip/common';
import type { FreshnessReport } from '@buckthornslip/wire';

import type { FreshnessTimes } from './FreshnessTimes';

/** Assumed relative drift between the monotonic clocks of two hosts: ten times that of quartz oscillators. */
const CLOCK_RATE_ERROR = 0.001;

/**
 * Converts the ages in a report to times on this node's clock. Ages are subtracted from the time at which the request
 * was sent. The peer measured them later, so the times are never too late, regardless of the network delay.
 *
 * @param report - Report received from a peer.
 * @param sentAt - Monotonic time at which the request for it was sent, in milliseconds.
 * @returns The times; undefined if the peer has no revision.
 * @internal
 */
export function toFreshnessTimes(
  report: FreshnessReport,
  sentAt: number,
): FreshnessTimes | undefined {
  if (report.revision <= 0) return undefined;
  const { confirmedAgeMilliseconds } = report;
  const timeOf = (ageMilliseconds: number): number =>
    sentAt - ageMilliseconds * (1 + CLOCK_RATE_ERROR);
  return {
    revision: report.revision,
    confirmedAt: confirmedAgeMilliseconds < 0 ? undefined : timeOf(confirmedAgeMilliseconds),
    syncedAt: new Map(
      report.regions.map(({ region, ageMilliseconds }) => [
        region as RegionId,
        timeOf(ageMilliseconds),
      ]),
    ),
  };
}
