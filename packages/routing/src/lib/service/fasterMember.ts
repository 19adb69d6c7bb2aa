import type { RouterSettings } from '../choice/RouterSettings';
import { completionTime } from '../members/completionTime';
import type { TrackedMember } from '../members/TrackedMember';

/**
 * Share of its completion time by which a member of another zone must be faster. Reports are tenths of a second old and
 * estimated from few calls, so smaller differences are noise, and calls that cross zones for them gain nothing.
 */
const MINIMUM_GAIN = 0.25;

/**
 * Chooses between a member of the own zone and one of another zone of the region.
 *
 * @param near - Member of the own zone.
 * @param far - Member of another zone; undefined if none may be chosen.
 * @param call - Expected service time of the call, and the additional round-trip time to the other zone.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Settings of the router.
 * @returns The far member if both report their work and it would complete the call clearly earlier, otherwise the near
 *   one.
 * @internal
 */
export function fasterMember(
  near: TrackedMember,
  far: TrackedMember | undefined,
  call: { readonly costMilliseconds: number; readonly detourMilliseconds: number },
  now: number,
  settings: RouterSettings,
): TrackedMember {
  if (!far || near.load?.workMilliseconds === undefined) return near;
  if (far.load?.workMilliseconds === undefined) return near;
  const { costMilliseconds, detourMilliseconds } = call;
  const nearTime = completionTime(near, costMilliseconds, now, settings) * (1 - MINIMUM_GAIN);
  const farTime = completionTime(far, costMilliseconds, now, settings) + detourMilliseconds;
  return farTime < nearTime ? far : near;
}
