import type { PartitionId } from '@buckthornslip/common';

import type { LeaseLocation } from '../manager/LeaseLocation';
import type { LeaseNode } from '../node/LeaseNode';
import type { ExtensionAnswer } from './ExtensionAnswer';
import type { ExtensionRequest } from './ExtensionRequest';

/**
 * Messages to other nodes that take part in leases. An undefined answer means that none arrived.
 *
 * @public
 */
export interface LeasePeers {
  readonly requestExtension: (
    to: LeaseNode,
    request: ExtensionRequest,
  ) => Promise<ExtensionAnswer | undefined>;

  /** Asks for the holder that the peer knows of; undefined also if it knows none. */
  readonly locate: (to: LeaseNode, partition: PartitionId) => Promise<LeaseLocation | undefined>;

  /** Tells a peer to read the store record now. The message may be lost: peers also read by themselves. */
  readonly refresh: (to: LeaseNode, partition: PartitionId) => Promise<void>;
}
