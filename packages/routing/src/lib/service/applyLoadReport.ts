import type { TrackedMember } from '../members/TrackedMember';
import { memberLimit } from '../members/memberLimit';
import type { LoadReport } from '../choice/LoadReport';
import { setCountedLoad } from './setCountedLoad';

/**
 * Takes in the load that came with the end of an attempt.
 *
 * @param tracked - The member; its own attempts no longer contain the ended one.
 * @param load - The report, if the answer carried one.
 * @param now - Monotonic time, in milliseconds.
 * @internal
 */
export function applyLoadReport(
  tracked: TrackedMember,
  load: LoadReport | undefined,
  now: number,
): void {
  if (!load) {
    setCountedLoad(tracked, tracked.countedLoad - 1);
    return;
  }
  const earlierLimit = memberLimit(tracked);
  const { inFlight, locality } = tracked;
  Object.assign(tracked, { load, loadAt: now, inFlightAtReport: inFlight });
  setCountedLoad(tracked, Math.max(inFlight, load.running + load.queued));
  if (!locality) return;
  locality.limit += memberLimit(tracked) - earlierLimit;
  locality.loadAt = now;
  // A rank that this member accepts is no longer refused by all.
  for (let rank = 0; rank < Math.min(load.cutoffRank, locality.cutOffUntil.length); rank += 1) {
    locality.cutOffUntil[rank] = 0;
  }
}
