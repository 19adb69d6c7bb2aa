import type { TrackedMember } from './TrackedMember';

/**
 * @param tracked - The member.
 * @returns Calls that the member may run concurrently: its reported limit, or its slots before the first report.
 * @internal
 */
export function memberLimit(tracked: TrackedMember): number {
  return Math.max(1, tracked.load?.limit ?? tracked.member.slots);
}
