import type { RouterSettings } from '../choice/RouterSettings';
import { isCutOff } from '../members/isCutOff';
import type { Locality } from './Locality';

/**
 * Tells whether all members of a locality refuse a priority. A positive result is cached until the oldest of the load
 * reports behind it expires, so that refusals stay cheap during overload.
 *
 * @param locality - Members at one distance.
 * @param rank - Priority rank of the call.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Holds the maximum age of a reported cutoff.
 * @returns Whether the locality has members and all of them refuse the rank.
 * @internal
 */
export function isLocalityCutOff(
  locality: Locality,
  rank: number,
  now: number,
  settings: RouterSettings,
): boolean {
  if (now < (locality.cutOffUntil[rank] ?? 0)) return true;
  const { members } = locality;
  if (members.length === 0) return false;
  if (!members.every((tracked) => isCutOff(tracked, rank, now, settings))) return false;
  const oldest = Math.min(...members.map((tracked) => tracked.loadAt));
  Object.assign(locality.cutOffUntil, { [rank]: oldest + settings.cutoffMaxAgeMilliseconds });
  return true;
}
