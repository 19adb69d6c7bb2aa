import type { Candidate } from '../candidates/Candidate';
import type { AttemptReport } from '../choice/AttemptReport';
import type { RouterOptions } from '../choice/RouterOptions';
import type { RouterSettings } from '../choice/RouterSettings';
import type { CandidateTable } from '../service/CandidateTable';
import { countOutcome } from './countOutcome';
import { ejectionLength } from './ejectionLength';
import { ejectionLimit } from './ejectionLimit';
import { isOutlier } from './isOutlier';

/**
 * Creates the outlier ejection of one service. Ejected members return by themselves.
 *
 * @param options - Clock, logger and failure detection.
 * @param settings - Thresholds and times.
 * @param table - Members of the service.
 * @returns A function that takes in the outcome of an attempt.
 * @internal
 */
export function createEjector(
  options: Pick<RouterOptions, 'clock' | 'logger' | 'membership'>,
  settings: RouterSettings,
  table: CandidateTable,
): (candidate: Candidate, outcome: AttemptReport['outcome']) => void {
  const { clock, logger, membership } = options;

  const eject = (candidate: Candidate, now: number): void => {
    const length = ejectionLength(candidate, settings);
    const { host, service } = candidate.member;
    const { errors, failures, silences } = candidate;
    logger.log('memberEjected', {
      host,
      service,
      errors,
      failures,
      silences,
      milliseconds: length,
    });
    Object.assign(candidate, {
      ejectedUntil: now + length,
      ejections: candidate.ejections + 1,
      failures: 0,
      silences: 0,
      errors: 0,
      errorShare: 0,
    });
    table.rebuild(now);
    clock.setTimer(length, () => table.rebuild(clock.monotonicMilliseconds()));
    membership.suspect(host);
  };

  return (candidate, outcome) => {
    countOutcome(candidate, outcome);
    const now = clock.monotonicMilliseconds();
    if (!candidate.level) return;
    if (!isOutlier(candidate, () => table.othersInUse(candidate), settings)) return;
    const hasRoom = table.ejectedCount(now) < ejectionLimit(table.readyCount());
    if (hasRoom) eject(candidate, now);
  };
}
