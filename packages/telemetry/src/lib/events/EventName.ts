import type { eventCatalogue } from './eventCatalogue';

/**
 * Name of a log event.
 *
 * @public
 */
export type EventName = keyof typeof eventCatalogue;
