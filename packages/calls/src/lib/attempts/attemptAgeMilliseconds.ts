import type { AttemptId, Clock } from '@buckthornslip/common';
import { uuidTimeMilliseconds } from '@buckthornslip/common';

/**
 * @param clock - Source of wall-clock time.
 * @param attemptId - A UUIDv7.
 * @returns Time since the id was created, in milliseconds, or undefined if it is not a UUIDv7.
 * @internal
 */
export function attemptAgeMilliseconds(clock: Clock, attemptId: AttemptId): number | undefined {
  const createdMilliseconds = uuidTimeMilliseconds(attemptId);
  if (createdMilliseconds === undefined) return undefined;
  return clock.wallMilliseconds() - createdMilliseconds;
}
