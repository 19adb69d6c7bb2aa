import type { RouterSettings } from '../choice/RouterSettings';
import { completionTime } from './completionTime';
import { memberScore } from './memberScore';
import type { TrackedMember } from './TrackedMember';

/**
 * Compares two members of one locality. If the cost of the call is given and both members report their work, the
 * expected completion time decides, otherwise the calls per limit.
 *
 * @param left - A member.
 * @param right - Another member.
 * @param costMilliseconds - Expected service time of the call; undefined to compare by calls. Calls of unknown cost (0) add no
 *   work, so members with equal completion times are compared by calls.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Settings of the router.
 * @returns A negative number if the first member is the better choice, 0 if both are equal.
 * @internal
 */
export function compareMembers(
  left: TrackedMember,
  right: TrackedMember,
  costMilliseconds: number | undefined,
  now: number,
  settings: RouterSettings,
): number {
  const reportWork =
    left.load?.workMilliseconds !== undefined && right.load?.workMilliseconds !== undefined;
  const byCalls = (): number =>
    memberScore(left, now, settings) - memberScore(right, now, settings);
  if (costMilliseconds === undefined || !reportWork) return byCalls();
  const difference =
    completionTime(left, costMilliseconds, now, settings) -
    completionTime(right, costMilliseconds, now, settings);
  return difference === 0 ? byCalls() : difference;
}
