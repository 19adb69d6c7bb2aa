import type { ZoneId } from '@buckthornslip/common';

import type { Member } from '../member/Member';
import type { Membership } from '../member/Membership';
import type { MembershipHandler } from '../peers/MembershipHandler';

/**
 * Membership of one node, with the operations that its process needs.
 *
 * @public
 */
export interface MembershipNode extends Membership {
  /** Answers the requests of other nodes. */
  readonly handler: MembershipHandler;

  /** Starts the tasks. */
  readonly start: () => void;

  /** Notifies all members that this node has left, waits for the delivery, and stops the tasks. */
  readonly leave: () => Promise<void>;

  /** Stops the tasks without notifying other nodes. */
  readonly close: () => void;

  /** @returns Whether this node is a contact of its zone. */
  readonly isContact: () => boolean;

  /** @returns Nodes of the zone that registered with this node; empty if it is not a contact. */
  readonly registeredNodes: () => readonly Member[];

  /** @returns The live contacts of all zones. */
  readonly zoneContacts: () => ReadonlyMap<ZoneId, readonly Member[]>;
}
