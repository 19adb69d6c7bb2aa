import type { RouterSettings } from '../choice/RouterSettings';
import type { Locality } from './Locality';

/**
 * @param locality - Members at one distance.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Age up to which reports count.
 * @returns Load per limit of the locality; 0 when nothing was reported lately, infinite without members.
 * @internal
 */
export function localityUtilization(
  locality: Locality,
  now: number,
  settings: RouterSettings,
): number {
  if (locality.limit === 0) return Infinity;
  if (now - locality.loadAt > settings.loadReportMaxAgeMilliseconds) return 0;
  return locality.load / locality.limit;
}
