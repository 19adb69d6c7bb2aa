import type { AccountId, ServiceId } from '@buckthornslip/common';
import type { AccountDefinition, Manifest, RouteDefinition } from '@buckthornslip/config';

const ROUTE: RouteDefinition = {
  name: 'statements',
  service: 'statements' as ServiceId,
  methods: [],
  pathPrefix: '/statements',
  access: 'keyed',
  priority: 'normal',
  repeatable: true,
  idempotencyKey: 'optional',
  deadlineMilliseconds: 10_000,
  bodyLimitBytes: 134_217_728,
  retryBudget: 3,
};

const ACCOUNT: AccountDefinition = {
  id: 'ciema-banka' as AccountId,
  ratePerSecond: 1_000,
  burst: 1_000,
  routes: [],
  whenIsolated: 'refuse',
};

/**
 * Creates a manifest; by default with one service and one route.
 *
 * @param routes - Overrides for each route. The defaults are a keyed, repeatable route "/statements".
 * @param account - Overrides for the account. By default it may use all routes.
 * @param firstByteTimeoutMilliseconds - First byte timeout of all services, in milliseconds.
 * @returns The manifest.
 * @public
 */
export function createTestManifest(
  routes: readonly Partial<RouteDefinition>[] = [{}],
  account: Partial<AccountDefinition> = {},
  firstByteTimeoutMilliseconds = 5_000,
): Manifest {
  const completeRoutes = routes.map((route) => ({ ...ROUTE, ...route }));
  const services = completeRoutes.map(({ service }) => {
    const limits = { queueTargetMilliseconds: 100, firstByteTimeoutMilliseconds };
    return [service, { id: service, ...limits }] as const;
  });
  const definition = { ...ACCOUNT, ...account };
  return {
    release: 'stand-in',
    regions: new Map(),
    services: new Map(services),
    routes: completeRoutes,
    accounts: new Map([[definition.id, definition]]),
  };
}
