/**
 * Load balancing: chooses the serving node of each attempt by locality, load and health.
 *
 * @packageDocumentation
 */

export type { AttemptReport } from './lib/choice/AttemptReport';
export { createRouter } from './lib/choice/createRouter';
export type { LoadReport } from './lib/choice/LoadReport';
export type { Router } from './lib/choice/Router';
export { routerDefaults } from './lib/choice/routerDefaults';
export type { RouterOptions } from './lib/choice/RouterOptions';
export type { RouterSettings } from './lib/choice/RouterSettings';
export type { RouteRequest } from './lib/choice/RouteRequest';
export type { RoutingRefusal } from './lib/choice/RoutingRefusal';
export type { LinkBudgetSettings } from './lib/link/LinkBudgetSettings';
