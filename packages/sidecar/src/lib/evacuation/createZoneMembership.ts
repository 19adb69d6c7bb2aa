import type { ZoneId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { map, merge } from 'rxjs';

import type { MemberDirectory } from '../directory/MemberDirectory';
import { waitForUsableMembers } from '../directory/waitForUsableMembers';
import type { EvacuationOrders } from './EvacuationOrders';

/** The members as routers need them. */
type RoutedMembership = Pick<MemberDirectory, 'members' | 'changes' | 'waitForMembers' | 'suspect'>;

type MemberSource = Omit<RoutedMembership, 'waitForMembers'>;

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
  directory: MemberSource,
  orders: Pick<EvacuationOrders, 'zones' | 'changes'>,
): RoutedMembership {
  const drain = (members: readonly Member[]) => drainEvacuated(members, orders.zones());
  const members: RoutedMembership['members'] = (service) => drain(directory.members(service));
  const changes: RoutedMembership['changes'] = (service) =>
    merge(
      directory.changes(service),
      orders.changes.pipe(map(() => directory.members(service))),
    ).pipe(map(drain));
  return {
    members,
    changes,
    // The directory would not wait for the other zones if it knows those that are evacuated.
    waitForMembers: (service, timeoutMilliseconds) =>
      waitForUsableMembers({ changes, ofService: members }, service, timeoutMilliseconds),
    suspect: directory.suspect,
  };
}
