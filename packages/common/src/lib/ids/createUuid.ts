import { v7 } from 'uuid';

import type { Clock } from '../clock/Clock';

/**
 * Creates a UUIDv7 with the time of the given clock.
 *
 * @param clock - Source of wall-clock time.
 * @returns The UUID in its canonical text form.
 * @public
 */
export function createUuid(clock: Clock): string {
  return v7({ msecs: clock.wallMilliseconds() });
}
