import type { RouterSettings } from '../choice/RouterSettings';
import { memberLimit } from './memberLimit';
import { memberLoad } from './memberLoad';
import { memberSpeed } from './memberSpeed';
import { memberWork } from './memberWork';
import { slowStartShare } from './slowStartShare';
import type { TrackedMember } from './TrackedMember';

/**
 * Expected time in which a member would complete one more call: its own service time, and the time in which the member
 * completes its work if all slots are taken. The second part counts by the square of the share of slots in use, as a
 * smooth estimate of how likely the call has to wait: with reports that are tenths of a second old, a sharp bound at
 * the last slot sends too many calls to fast members that have just filled up.
 *
 * @param tracked - The member.
 * @param costMilliseconds - Expected service time of the call on an average upstream.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Settings of the router.
 * @returns Time in milliseconds; the lower one wins.
 * @internal
 */
export function completionTime(
  tracked: TrackedMember,
  costMilliseconds: number,
  now: number,
  settings: RouterSettings,
): number {
  const limit = memberLimit(tracked) * slowStartShare(tracked, now, settings);
  const speed = memberSpeed(tracked, now, settings);
  const drainTime = (memberWork(tracked, now, settings) + costMilliseconds) / (limit * speed);
  const usedShare = (memberLoad(tracked, now, settings) + 1) / limit;
  return costMilliseconds / speed + usedShare * usedShare * drainTime;
}
