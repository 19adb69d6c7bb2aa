import type { TrackedMember } from '../members/TrackedMember';
import type { RouterSettings } from '../choice/RouterSettings';

/**
 * @param tracked - The member.
 * @param settings - Holds the durations of the first and of the longest ejection.
 * @returns Duration of the member's next ejection, in milliseconds.
 * @internal
 */
export function ejectionDuration(tracked: TrackedMember, settings: RouterSettings): number {
  const duration = settings.baseEjectionMilliseconds * 2 ** tracked.ejections;
  return Math.min(settings.maximumEjectionMilliseconds, duration);
}
