/**
 * @param readyMembers - Number of ready members of a service.
 * @returns Maximum number of members that may be ejected at the same time: never more than half.
 * @internal
 */
export function maximumEjectedMembers(readyMembers: number): number {
  return Math.floor(readyMembers / 2);
}
