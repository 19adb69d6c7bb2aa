import type { RouterSettings } from '../choice/RouterSettings';
import type { TrackedMember } from './TrackedMember';
import { memberLimit } from './memberLimit';
import { memberLoad } from './memberLoad';
import { slowStartShare } from './slowStartShare';

/**
 * @param tracked - The member.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Settings of the router.
 * @returns Utilization (load per limit) that the member would have with one more call; the lower score wins.
 * @internal
 */
export function memberScore(tracked: TrackedMember, now: number, settings: RouterSettings): number {
  const share = slowStartShare(tracked, now, settings);
  return (memberLoad(tracked, now, settings) + 1) / (memberLimit(tracked) * share);
}
