import type { Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

/** Speed below which an upstream counts as slow. */
const SLOW_SPEED = 0.5;

/** Speed above which a slow upstream counts as usual again; apart from the other bound, so that lines don't alternate. */
const USUAL_SPEED = 0.7;

/** Time for which the speed must be low, in milliseconds. Shorter slow phases are followed by routing alone. */
const SLOW_MILLISECONDS = 5_000;

/**
 * Creates the log of an upstream that stays slower than the others of its service.
 *
 * @param clock - Source of time.
 * @param logger - Logger.
 * @returns A function that takes the current speed, to be called with each call.
 * @internal
 */
export function createSlowUpstreamLog(
  clock: Clock,
  logger: EventLogger,
): (speed: number | undefined) => void {
  let slowSince: number | undefined;
  let isLogged = false;
  return (speed = 1) => {
    if (speed > USUAL_SPEED) {
      if (isLogged) logger.log('upstreamSpeedUsual', { speed });
      slowSince = undefined;
      isLogged = false;
    } else if (speed < SLOW_SPEED) {
      const now = clock.monotonicMilliseconds();
      slowSince ??= now;
      if (isLogged || now - slowSince < SLOW_MILLISECONDS) return;
      isLogged = true;
      logger.log('upstreamSlow', { speed });
    }
  };
}
