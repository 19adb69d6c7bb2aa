import type { Member, Membership } from '@buckthornslip/membership';

import type { DirectoryMessage } from './DirectoryMessage';

/** Fields of a node's own record that change while it runs. */
export type SelfUpdate = Partial<Pick<Member, 'service' | 'slots' | 'connections' | 'state'>>;

/**
 * All nodes known to this node. Nodes find each other through records in the store and then speak directly.
 *
 * @public
 */
export interface MemberDirectory extends Pick<
  Membership,
  'self' | 'members' | 'changes' | 'waitForMembers' | 'suspect'
> {
  /** Publishes this node and reads the others. */
  readonly start: () => void;
  /** Changes the own record and tells the other nodes. */
  readonly update: (change: SelfUpdate) => void;
  /** @returns All other nodes that are believed to run. */
  readonly livePeers: () => readonly Member[];
  /** @returns A number that grows with each change of a node's record or liveness, the own one included. */
  readonly revision: () => number;
  /** @returns What this node tells others. */
  readonly currentMessage: () => DirectoryMessage;
  /** Takes in a message of another node. */
  readonly receive: (message: DirectoryMessage) => DirectoryMessage;
  /** Withdraws the own record from the store. */
  readonly leave: () => Promise<void>;
  readonly close: () => void;
}
