import type { RouterSettings } from '../choice/RouterSettings';
import type { Locality } from './Locality';

/**
 * @param locality - Members at one distance.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Holds the maximum age of a load report.
 * @returns Load per limit of the locality; 0 without a recent report, infinite without members.
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
