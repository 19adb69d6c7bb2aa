import type { EventLogger } from './EventLogger';

/**
 * @returns A logger that discards all events, for tests and short-lived tools.
 * @public
 */
export function createSilentLogger(): EventLogger {
  return { log: () => undefined };
}
