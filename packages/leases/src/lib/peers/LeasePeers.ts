import type { PartitionId } from '@buckthornslip/common';

import type { LeaseLocation } from '../manager/LeaseLocation';
import type { LeaseNode } from '../node/LeaseNode';
import type { ExtensionAnswer } from './ExtensionAnswer';
import type { ExtensionRequest } from './ExtensionRequest';

/**
 * Client of the other nodes that participate in leases. The result is undefined if no answer arrived.
 *
 * @public
 */
export interface LeasePeers {
  readonly requestExtension: (
    to: LeaseNode,
    request: ExtensionRequest,
  ) => Promise<ExtensionAnswer | undefined>;

  /** Asks a peer for the holder; undefined also if the peer does not know it. */
  readonly locate: (to: LeaseNode, partition: PartitionId) => Promise<LeaseLocation | undefined>;

  /** Asks a peer to read the store record now. The request may be lost, since peers also read periodically. */
  readonly refresh: (to: LeaseNode, partition: PartitionId) => Promise<void>;
}
