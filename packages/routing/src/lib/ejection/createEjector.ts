import type { TrackedMember } from '../members/TrackedMember';
import type { AttemptReport } from '../choice/AttemptReport';
import type { RouterOptions } from '../choice/RouterOptions';
import type { RouterSettings } from '../choice/RouterSettings';
import type { MemberTable } from '../service/MemberTable';
import { recordOutcome } from './recordOutcome';
import { ejectionDuration } from './ejectionDuration';
import { maximumEjectedMembers } from './maximumEjectedMembers';
import { isOutlier } from './isOutlier';

/**
 * Creates the outlier ejection of one service. Ejected members return automatically after a time.
 *
 * @param options - Clock, logger and membership.
 * @param settings - Thresholds and durations of ejections.
 * @param table - Members of the service.
 * @returns A function that records the outcome of an attempt and ejects the member if it is an outlier.
 * @internal
 */
export function createEjector(
  options: Pick<RouterOptions, 'clock' | 'logger' | 'membership'>,
  settings: RouterSettings,
  table: MemberTable,
): (tracked: TrackedMember, outcome: AttemptReport['outcome']) => void {
  const { clock, logger, membership } = options;

  const eject = (tracked: TrackedMember, now: number): void => {
    const duration = ejectionDuration(tracked, settings);
    const { host, service } = tracked.member;
    const { errors, failures, timeouts } = tracked;
    logger.log('memberEjected', {
      host,
      service,
      errors,
      failures,
      silences: timeouts,
      milliseconds: duration,
    });
    Object.assign(tracked, {
      ejectedUntil: now + duration,
      ejections: tracked.ejections + 1,
      failures: 0,
      timeouts: 0,
      errors: 0,
      errorShare: 0,
    });
    table.rebuild(now);
    clock.setTimer(duration, () => table.rebuild(clock.monotonicMilliseconds()));
    membership.suspect(host);
  };

  return (tracked, outcome) => {
    recordOutcome(tracked, outcome);
    const now = clock.monotonicMilliseconds();
    if (!tracked.locality) return;
    if (!isOutlier(tracked, () => table.otherAvailableMembers(tracked), settings)) return;
    const canEjectMore = table.ejectedCount(now) < maximumEjectedMembers(table.readyCount());
    if (canEjectMore) eject(tracked, now);
  };
}
