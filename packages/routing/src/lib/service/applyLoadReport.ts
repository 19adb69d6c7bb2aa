import type { TrackedMember } from '../members/TrackedMember';
import { memberLimit } from '../members/memberLimit';
import type { LoadReport } from '../choice/LoadReport';
import { setCountedLoad } from './setCountedLoad';

/**
 * Applies the load report carried by the answer to an attempt, after the attempt has ended.
 *
 * @param tracked - The member; its `inFlight` no longer includes the ended attempt.
 * @param load - The load report, if there is one.
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
  const { inFlight, locality, workInFlight } = tracked;
  Object.assign(tracked, {
    load,
    loadAt: now,
    inFlightAtReport: inFlight,
    workInFlightAtReport: workInFlight,
  });
  setCountedLoad(tracked, Math.max(inFlight, load.running + load.queued));
  if (!locality) return;
  locality.limit += memberLimit(tracked) - earlierLimit;
  locality.loadAt = now;
  // A rank that this member accepts is no longer refused by all members.
  for (let rank = 0; rank < Math.min(load.cutoffRank, locality.cutOffUntil.length); rank += 1) {
    locality.cutOffUntil[rank] = 0;
  }
}
