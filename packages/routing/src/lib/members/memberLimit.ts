import type { TrackedMember } from './TrackedMember';

/**
 * @param tracked - The member.
 * @returns Calls that the member may run at once: its reported limit, or its slots before a report.
 * @internal
 */
export function memberLimit(tracked: TrackedMember): number {
  return Math.max(1, tracked.load?.limit ?? tracked.member.slots);
}
