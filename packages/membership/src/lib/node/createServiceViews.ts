import type { HostId, ServiceId } from '@buckthornslip/common';

import { createServiceGroup } from '../group/createServiceGroup';
import type { ServiceGroup } from '../group/ServiceGroup';
import type { MemberRecord } from '../member/MemberRecord';
import { newestRecord } from '../member/newestRecord';
import { createSubscription } from '../subscription/createSubscription';
import type { Subscription } from '../subscription/Subscription';
import type { MemberTable } from '../table/MemberTable';
import type { NodeContext } from './NodeContext';
import type { ServiceViews } from './ServiceViews';

/**
 * Creates the service views of a node: the group of its own service and a subscription to each other
 * service that it calls.
 *
 * @param context - Dependencies of the node.
 * @param findMembers - Asks zone contacts for members of a service.
 * @returns The views, initially without any service.
 * @internal
 */
export function createServiceViews(
  context: NodeContext,
  findMembers: (service: ServiceId, limit: number) => Promise<readonly MemberRecord[]>,
): ServiceViews {
  const subscriptions = new Map<ServiceId, Subscription>();
  let group: ServiceGroup | undefined;
  let isStarted = false;

  const startTask = (run: () => Promise<void>): void => {
    if (isStarted) void run();
  };

  const subscribe = (service: ServiceId): Subscription => {
    const known = subscriptions.get(service);
    if (known) return known;
    const created = createSubscription(context, service, findMembers);
    subscriptions.set(service, created);
    startTask(created.run);
    return created;
  };

  const tables = (): readonly MemberTable[] => [
    ...(group ? [group.table] : []),
    ...[...subscriptions.values()].map(({ table }) => table),
  ];

  const leaveGroup = async (): Promise<void> => {
    const left = group;
    group = undefined;
    await left?.announce();
    left?.close();
  };

  return {
    tables,
    start: () => {
      isStarted = true;
      if (group) startTask(group.run);
      subscriptions.forEach(({ run }) => startTask(run));
    },
    group: (service) => (group?.service === service ? group : undefined),
    subscription: (service) => subscriptions.get(service),
    table: (service) => (group?.service === service ? group : subscribe(service)).table,
    announce: async (service) => {
      if (group && group.service !== service) await leaveGroup();
      if (group || !service) return group?.announce();
      group = createServiceGroup(context, service, findMembers);
      startTask(group.run);
      return undefined;
    },
    suspect: (host) => {
      if (group?.table.get(host)) group.verify(host);
      subscriptions.forEach((subscription) => subscription.reportSuspect(host));
    },
    findHost: (host: HostId) => newestRecord(tables().map((table) => table.get(host))),
  };
}
