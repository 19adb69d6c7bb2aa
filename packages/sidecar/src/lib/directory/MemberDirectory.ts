import type { Member, Membership } from '@buckthornslip/membership';

import type { DirectoryMessage } from './DirectoryMessage';

/** Fields of this node's record that change while it is running. */
export type SelfUpdate = Partial<
  Pick<Member, 'service' | 'slots' | 'connections' | 'state' | 'departure'>
>;

/**
 * All known nodes. Nodes discover each other through records in the store and then communicate directly, through the
 * relays of their zones.
 *
 * @public
 */
export interface MemberDirectory extends Pick<
  Membership,
  'self' | 'members' | 'changes' | 'waitForMembers' | 'suspect'
> {
  /** Registers this node in the store and starts reading and exchanging records. */
  readonly start: () => void;
  /**
   * @returns A promise that resolves when this node knows the other nodes. Until then, a restarted node knows only itself, so
   *   it can't tell what it is responsible for.
   */
  readonly whenInformed: () => Promise<void>;
  /** Changes this node's record and sends it to the other nodes. A new departure is written to the store as well. */
  readonly update: (change: SelfUpdate) => void;
  /**
   * @returns A promise that resolves when the store has accepted the last departure, with true, or after a limited time, with
   *   false. The store is still asked to accept it then.
   */
  readonly whenDepartureSaved: () => Promise<boolean>;
  /**
   * @returns A promise that resolves when this node has read what an earlier process of it has written to the store, or after a
   *   limited time.
   */
  readonly whenDeparturesKnown: () => Promise<void>;
  /** Passes the revision of the current policy and the evacuated zones on, if this node is a relay. */
  readonly announceOrders: () => void;
  /** @returns Position of this node among the relays of its zone, as a part of their number; 1 if it is no relay. */
  readonly relayShare: () => number;
  /** @returns All other nodes that are considered alive. */
  readonly livePeers: () => readonly Member[];
  /** Records that another node has sent something, also outside of the directory. */
  readonly recordContact: () => void;
  /**
   * @returns Share of the fleet's rates that this node may grant: all of it, but only that of one node if it has no contact to any
   *   other one, since it can't tell whether they have failed or it is cut off.
   */
  readonly rateShare: () => number;
  /** @returns Whether any known node is considered dead or has left. */
  readonly hasLostNodes: () => boolean;
  /** @returns A number that increases with each change of a node's record or liveness, including this node's. */
  readonly revision: () => number;
  /** @returns The message that this node currently sends, without members. */
  readonly currentMessage: () => DirectoryMessage;
  /** Applies a message of another node and returns the answer. */
  readonly receive: (message: DirectoryMessage) => DirectoryMessage;
  /** Announces the departure to the other nodes and removes this node's record from the store. */
  readonly leave: () => Promise<void>;
  readonly close: () => void;
}
