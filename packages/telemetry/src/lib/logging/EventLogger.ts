import type { EventName } from '../events/EventName';

/**
 * Writes numbered log events.
 *
 * @public
 */
export interface EventLogger {
  /**
   * @param event - Name of the event in `eventCatalogue`.
   * @param fields - Details. They must not contain keys, secrets or bodies.
   */
  readonly log: (event: EventName, fields?: Readonly<Record<string, unknown>>) => void;
}
