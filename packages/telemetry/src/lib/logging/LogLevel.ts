import type { EventDefinition } from '../events/EventDefinition';

/**
 * Level of a log event.
 *
 * @public
 */
export type LogLevel = EventDefinition['level'];
