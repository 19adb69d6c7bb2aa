import type { TrackedMember } from '../members/TrackedMember';

/**
 * Sets the calls of a member that are included in its locality's total load, and adjusts the total.
 *
 * @param tracked - The member.
 * @param load - Number of calls; less than 0 counts as 0.
 * @internal
 */
export function setCountedLoad(tracked: TrackedMember, load: number): void {
  const countedLoad = Math.max(0, load);
  const { locality } = tracked;
  if (locality) locality.load += countedLoad - tracked.countedLoad;
  Object.assign(tracked, { countedLoad });
}
