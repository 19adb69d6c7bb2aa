/**
 * Metrics and numbered log events.
 *
 * @packageDocumentation
 */

export { eventCatalogue } from './lib/events/eventCatalogue';
export type { EventDefinition } from './lib/events/EventDefinition';
export type { EventName } from './lib/events/EventName';
export { createEventLogger } from './lib/logging/createEventLogger';
export { createSilentLogger } from './lib/logging/createSilentLogger';
export type { EventLogger } from './lib/logging/EventLogger';
export type { LogLevel } from './lib/logging/LogLevel';
export { createMetrics } from './lib/metrics/createMetrics';
export type { Metrics } from './lib/metrics/Metrics';
export type { BoundedWriter } from './lib/logging/createBoundedWriter';
export { createBoundedWriter } from './lib/logging/createBoundedWriter';
