import type { Clock, RegionId } from '@buckthornslip/common';
import type { FreshnessReport } from '@buckthornslip/wire';

import type { FreshnessTimes } from './FreshnessTimes';
import { mergeFreshnessTimes } from './mergeFreshnessTimes';

/**
 * Tracks whether a newer revision, such as a key withdrawal, can be ruled out.
 *
 * @internal
 */
export interface FreshnessTracker {
  readonly record: (times: FreshnessTimes, currentRevision: number) => void;
  /** Must be called when a new revision comes into force. */
  readonly advance: (currentRevision: number) => void;
  readonly isFresh: (regions: Iterable<RegionId>) => boolean;
  /** @returns Milliseconds since the store confirmed the revision in force; undefined if it never did. */
  readonly confirmedAgeMilliseconds: () => number | undefined;
  readonly report: (currentRevision: number) => FreshnessReport;
}

/** Settings of {@link createFreshnessTracker}. */
interface FreshnessTrackerOptions {
  readonly clock: Clock;
  readonly limitMilliseconds: number;
  /** The node's region if it is currently a zone contact, else undefined. */
  readonly contactRegion: () => RegionId | undefined;
}

const NO_TIMES: FreshnessTimes = { revision: 0, confirmedAt: undefined, syncedAt: new Map() };

/**
 * Creates a freshness tracker. A node is fresh if the store confirmed its revision within the limit, or if it synced
 * with contacts of all regions within the limit: had any of them read a newer revision from the store, the node would
 * know it. Times that refer to a revision that the node does not have yet apply only once that revision is in force.
 *
 * @param options - Clock, limit and the node's role.
 * @returns The tracker.
 * @internal
 */
export function createFreshnessTracker(options: FreshnessTrackerOptions): FreshnessTracker {
  const { clock, limitMilliseconds, contactRegion } = options;
  let applied = NO_TIMES;
  let pending = NO_TIMES;

  const isRecent = (time: number | undefined): boolean =>
    time !== undefined && clock.monotonicMilliseconds() - time <= limitMilliseconds;

  const getSyncedAt = (): ReadonlyMap<RegionId, number> => {
    const own = contactRegion();
    if (own === undefined) return applied.syncedAt;
    return new Map([...applied.syncedAt, [own, clock.monotonicMilliseconds()]]);
  };

  const ageOf = (time: number): number =>
    Math.max(0, Math.ceil(clock.monotonicMilliseconds() - time));

  const getConfirmedAge = (): number | undefined =>
    applied.confirmedAt === undefined ? undefined : ageOf(applied.confirmedAt);

  return {
    record: (times, currentRevision) => {
      if (times.revision <= currentRevision) applied = mergeFreshnessTimes(applied, times);
      else pending = mergeFreshnessTimes(pending, times);
    },
    advance: (currentRevision) => {
      if (pending.revision > currentRevision) return;
      applied = mergeFreshnessTimes(applied, pending);
      pending = NO_TIMES;
    },
    isFresh: (regions) => {
      if (isRecent(applied.confirmedAt)) return true;
      const syncedAt = getSyncedAt();
      return [...regions].every((region) => isRecent(syncedAt.get(region)));
    },
    confirmedAgeMilliseconds: getConfirmedAge,
    report: (currentRevision) => ({
      revision: currentRevision,
      confirmedAgeMilliseconds: getConfirmedAge() ?? -1,
      regions: [...getSyncedAt()].map(([region, time]) => ({
        region,
        ageMilliseconds: ageOf(time),
      })),
    }),
  };
}
