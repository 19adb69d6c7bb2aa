import type { HostId, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';

import type { Member } from '../member/Member';
import type { MemberRecord } from '../member/MemberRecord';
import type { MembershipHandler } from '../peers/MembershipHandler';

/**
 * This node's registration with the zone contacts, and its service as one of them.
 *
 * @internal
 */
export interface ZoneContacts {
  readonly isContact: () => boolean;
  /** Nodes of this zone that registered with this node; empty unless this node is a contact. */
  readonly registeredNodes: () => readonly Member[];
  readonly byRegion: () => ReadonlyMap<RegionId, readonly Member[]>;
  readonly byZone: () => ReadonlyMap<ZoneId, readonly Member[]>;
  readonly findHost: (host: HostId) => MemberRecord | undefined;
  /** Asks contacts of all zones for members of a service. */
  readonly findMembers: (
    service: ServiceId,
    limitPerContact: number,
  ) => Promise<readonly MemberRecord[]>;
  readonly answerRegister: MembershipHandler['register'];
  readonly answerFindService: MembershipHandler['findService'];
  readonly answerInviteContact: MembershipHandler['inviteContact'];
  /** Registers immediately, after a change of this node's record. */
  readonly wake: () => void;
  /** Registers periodically until the node's signal is aborted. */
  readonly run: () => Promise<void>;
}
