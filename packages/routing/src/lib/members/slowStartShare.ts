import type { RouterSettings } from '../choice/RouterSettings';
import type { TrackedMember } from './TrackedMember';

/**
 * @param tracked - The member.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Holds the duration and the initial share of the slow start.
 * @returns Share of its limit that the member should get now, up to 1.
 * @internal
 */
export function slowStartShare(
  tracked: TrackedMember,
  now: number,
  settings: RouterSettings,
): number {
  const age = now - tracked.readyAt;
  if (age >= settings.slowStartMilliseconds) return 1;
  const first = settings.slowStartShare;
  return first + ((1 - first) * age) / settings.slowStartMilliseconds;
}
