import type { RegionId } from '@buckthornslip/common';
import type { FreshnessReport } from '@buckthornslip/wire';

import type { FreshnessTimes } from './FreshnessTimes';

/** Share by which two hosts' monotonic clocks may differ in rate. Crystals are ten times better than this. */
const CLOCK_RATE_ERROR = 0.001;

/**
 * Ages are counted back from the time at which the request was sent. The peer took them later, so the times is never
 * dated too late, however long the response was under way.
 *
 * @param report - Report of a peer.
 * @param sentAt - Time at which the request for it was sent, in milliseconds of the monotonic clock.
 * @returns The times in the report; undefined if the peer has no revision.
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
