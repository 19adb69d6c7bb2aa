import type { Clock, PartitionId } from '@buckthornslip/common';
import type { Store } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { LeaseMember } from '../node/LeaseMember';
import type { LeaseNode } from '../node/LeaseNode';
import type { LeasePeers } from '../peers/LeasePeers';
import type { LeaseTiming } from '../timing/LeaseTiming';

/**
 * Options of a lease manager.
 *
 * @public
 */
export interface LeaseManagerOptions {
  /** This node. Its incarnation must be higher than that of any earlier process in its host's slot. */
  readonly self: LeaseMember;
  readonly store: Pick<Store, 'get' | 'compareAndSwap'>;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly peers: LeasePeers;

  /**
   * Members that may hold a partition: alive, ready, in its region, and one for each host, under the latest
   * incarnation known of it. The list contains this node if it may hold the partition.
   */
  readonly eligibleMembers: (partition: PartitionId) => readonly LeaseMember[];

  /** Must be the same on all nodes; {@link defaultLeaseTiming} by default. */
  readonly timing?: LeaseTiming;

  /**
   * Copies the holder's state to a node before the node is listed as a candidate. From this call on, new
   * state must be copied to that node as well. If absent, candidates are listed immediately.
   *
   * @returns Whether the node has the state.
   */
  readonly prepareCandidate?: (
    partition: PartitionId,
    epoch: number,
    candidate: LeaseNode,
  ) => Promise<boolean>;
}
