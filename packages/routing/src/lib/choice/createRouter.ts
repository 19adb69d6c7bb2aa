import type { ServiceId } from '@buckthornslip/common';

import { createLinkBudgets } from '../link/createLinkBudgets';
import { createServiceRouter } from '../service/createServiceRouter';
import type { ServiceRouter } from '../service/ServiceRouter';
import type { Router } from './Router';
import { routerDefaults } from './routerDefaults';
import type { RouterOptions } from './RouterOptions';

/**
 * Creates a router. It keeps state only for the services that are called through it.
 *
 * @param options - Region and zone of this node, membership, clock and link budgets.
 * @returns The router, with a function that unsubscribes from membership changes.
 * @public
 */
export function createRouter(options: RouterOptions): Router & { readonly close: () => void } {
  const settings = { ...routerDefaults, ...options.settings };
  const budgetOf = createLinkBudgets(options.clock, options.linkBudget);
  const serviceRouters = new Map<ServiceId, ServiceRouter>();
  const firstLookups = new Map<ServiceId, Promise<unknown>>();

  const serviceRouterOf = (service: ServiceId): ServiceRouter => {
    const known = serviceRouters.get(service);
    if (known) return known;
    const created = createServiceRouter(service, options, settings, budgetOf);
    serviceRouters.set(service, created);
    return created;
  };

  /** Only the first calls of a service wait, until its first member list has arrived. */
  const waitForMemberList = (service: ServiceId): Promise<unknown> => {
    const known = firstLookups.get(service);
    if (known) return known;
    const wait = options.membership.waitForMembers(service, settings.memberListTimeoutMilliseconds);
    firstLookups.set(service, wait);
    return wait;
  };

  return {
    choose: async (request) => {
      const serviceRouter = serviceRouterOf(request.service);
      if (!serviceRouter.hasMembers()) await waitForMemberList(request.service);
      return serviceRouter.choose(request);
    },
    report: (report) => serviceRouters.get(report.service)?.report(report),
    close: () => serviceRouters.forEach((serviceRouter) => serviceRouter.close()),
  };
}
