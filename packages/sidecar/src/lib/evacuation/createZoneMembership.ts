import type { ZoneId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { map, merge } from 'rxjs';

import type { MemberDirectory } from '../directory/MemberDirectory';
import type { EvacuationOrders } from './EvacuationOrders';

/** The members as routers need them. */
type RoutedMembership = Pick<MemberDirectory, 'members' | 'changes' | 'waitForMembers' | 'suspect'>;

const drainEvacuated = (
  members: readonly Member[],
  zones: ReadonlySet<ZoneId>,
): readonly Member[] => {
  if (zones.size === 0) return members;
  return members.map((member) =>
    zones.has(member.zone) && member.state === 'ready'
      ? { ...member, state: 'draining' as const }
      : member,
  );
};

/**
 * Creates a view of the members in which those of evacuated zones are draining, whatever state their nodes have announced.
 *
 * @param directory - All members.
 * @param orders - The evacuated zones.
 * @returns The view.
 * @internal
 */
export function createZoneMembership(
  directory: RoutedMembership,
  orders: Pick<EvacuationOrders, 'zones' | 'changes'>,
): RoutedMembership {
  const drain = (members: readonly Member[]) => drainEvacuated(members, orders.zones());
  return {
    members: (service) => drain(directory.members(service)),
    changes: (service) =>
      merge(
        directory.changes(service),
        orders.changes.pipe(map(() => directory.members(service))),
      ).pipe(map(drain)),
    waitForMembers: async (service, timeoutMilliseconds) =>
      drain(await directory.waitForMembers(service, timeoutMilliseconds)),
    suspect: directory.suspect,
  };
}
