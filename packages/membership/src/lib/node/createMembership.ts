import { setMaxListeners } from 'node:events';

import { createZoneContacts } from '../contacts/createZoneContacts';
import type { Announcement } from '../member/Announcement';
import type { MemberRecord } from '../member/MemberRecord';
import { newestRecord } from '../member/newestRecord';
import { toMember } from '../member/toMember';
import { createMembershipHandler } from './createMembershipHandler';
import { createSelfRecord } from './createSelfRecord';
import { createServiceViews } from './createServiceViews';
import type { MembershipNode } from './MembershipNode';
import type { MembershipOptions } from './MembershipOptions';
import { membershipTimes } from './membershipTimes';
import type { NodeContext } from './NodeContext';
import { waitForUsableMember } from './waitForUsableMember';

function initialRecord(options: MembershipOptions): MemberRecord {
  const { identity, region, zone, peerAddress, controlAddress } = options;
  return {
    ...identity,
    version: 1,
    service: undefined,
    region,
    zone,
    peerAddress,
    controlAddress,
    slots: 0,
    connections: 0,
    state: 'starting',
    liveness: 'alive',
  };
}

/**
 * Creates the membership of one node.
 *
 * @param options - Identity, addresses, peers, store, clock and callbacks.
 * @returns The membership; `start` starts its tasks.
 * @public
 */
export function createMembership(options: MembershipOptions): MembershipNode {
  const { clock, logger, peers, random } = options;
  const closing = new AbortController();
  // Each task and each suspicion in progress adds a listener, so their number grows with the members.
  setMaxListeners(0, closing.signal);
  const self = createSelfRecord(initialRecord(options), logger);
  const { signal } = closing;
  const departedRetentionMilliseconds =
    options.departedRetentionMilliseconds ?? membershipTimes.departedRetention;
  const context: NodeContext = {
    self,
    peers,
    clock,
    random,
    logger,
    departedRetentionMilliseconds,
    signal,
  };
  const contacts = createZoneContacts(context, {
    store: options.store,
    seeds: options.seeds,
    registrationInfo: options.registrationInfo ?? (() => undefined),
    onRegistrationInfo: options.onRegistrationInfo ?? (() => undefined),
  });
  const views = createServiceViews(context, contacts.findMembers);

  const changeSelf = async (fields: Partial<MemberRecord>): Promise<void> => {
    const { service } = self.change(fields);
    contacts.wake();
    await views.announce(service);
  };

  const announce = (announcement: Announcement): void => {
    const { service, slots, connections, state } = announcement;
    const current = self.current();
    const isUnchanged =
      current.service === service &&
      current.slots === slots &&
      current.connections === connections &&
      current.state === state;
    if (!isUnchanged) void changeSelf({ service, slots, connections, state });
  };

  return {
    handler: createMembershipHandler(self, views, contacts),
    start: () => {
      views.start();
      void contacts.run();
    },
    leave: async () => {
      await changeSelf({ state: 'left' });
      // Changes reach subscribers after the batching delay.
      await clock.sleep(membershipTimes.forwardDelay + membershipTimes.pushTimeout);
      closing.abort();
    },
    close: () => closing.abort(),
    self: () => toMember(self.current()),
    announce,
    members: (service) => views.table(service).members(),
    waitForMembers: (service, timeoutMilliseconds) =>
      waitForUsableMember(views.table(service), clock, timeoutMilliseconds),
    changes: (service) => views.table(service).changes,
    findHost: (host) => {
      const own = self.current();
      const ownRecord = own.host === host ? own : undefined;
      const found = newestRecord([ownRecord, views.findHost(host), contacts.findHost(host)]);
      return found && toMember(found);
    },
    contacts: contacts.byRegion,
    suspect: views.suspect,
    isContact: contacts.isContact,
    registeredNodes: contacts.registeredNodes,
    zoneContacts: contacts.byZone,
  };
}
