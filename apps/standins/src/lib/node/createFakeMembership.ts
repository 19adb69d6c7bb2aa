import type { NodeIdentity, RegionId, ZoneId } from '@buckthornslip/common';
import type { Member, Membership } from '@buckthornslip/membership';
import { of } from 'rxjs';

import type { SharedFleetState } from './SharedFleetState';

/**
 * @param fleet - Shared state that holds the members.
 * @param identity - Identity of this node.
 * @returns A membership view that is always up to date.
 * @internal
 */
export function createFakeMembership(fleet: SharedFleetState, identity: NodeIdentity): Membership {
  const initial: Member = {
    ...identity,
    version: 1,
    service: undefined,
    region: 'region' as RegionId,
    zone: 'zone' as ZoneId,
    peerAddress: '',
    controlAddress: '',
    slots: 0,
    connections: 0,
    state: 'starting',
    alive: true,
  };
  fleet.members.set(identity.host, initial);
  const self = (): Member => fleet.members.get(identity.host) ?? initial;
  const members: Membership['members'] = (service) =>
    [...fleet.members.values()].filter((member) => member.service === service);
  return {
    self,
    announce: ({ connections, service, slots, state }) => {
      const version = self().version + 1;
      fleet.members.set(identity.host, {
        ...self(),
        version,
        connections,
        service,
        slots,
        state,
      });
    },
    members,
    waitForMembers: async (service) => members(service),
    changes: (service) => of(members(service)),
    findHost: (host) => fleet.members.get(host),
    contacts: () => new Map(),
    suspect: (host) => fleet.suspected.push(host),
  };
}
