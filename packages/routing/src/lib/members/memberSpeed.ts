import type { RouterSettings } from '../choice/RouterSettings';
import type { TrackedMember } from './TrackedMember';

/**
 * @param tracked - The member.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Holds the maximum age of a load report.
 * @returns Reported speed of the member's upstream; 1 without a recent report.
 * @internal
 */
export function memberSpeed(tracked: TrackedMember, now: number, settings: RouterSettings): number {
  const isRecent = now - tracked.loadAt <= settings.loadReportMaxAgeMilliseconds;
  return (isRecent ? tracked.load?.speed : undefined) ?? 1;
}
