import type { Clock, PartitionId, Result } from '@buckthornslip/common';
import type { Store, StoreEntry, StoreError, StoreRevision } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { LeaseMember } from '../node/LeaseMember';
import type { LeaseNode } from '../node/LeaseNode';
import type { LeasePeers } from '../peers/LeasePeers';
import type { IncarnationRegistry } from '../selection/createIncarnationRegistry';
import type { LeaseDurations } from '../timing/LeaseDurations';

/**
 * Dependencies that all partitions of one lease manager share.
 *
 * @internal
 */
export interface LeaseContext {
  readonly self: LeaseMember;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly durations: LeaseDurations;
  readonly marginFraction: number;
  readonly peers: LeasePeers;
  readonly incarnations: IncarnationRegistry;

  /** Members that may currently hold a partition. Their incarnations are recorded. */
  readonly eligible: (partition: PartitionId) => readonly LeaseMember[];

  readonly prepareCandidate:
    ((partition: PartitionId, epoch: number, candidate: LeaseNode) => Promise<boolean>) | undefined;

  /** `store.get` with the store timeout of leases. */
  readonly read: (key: string) => Promise<Result<StoreEntry | undefined, StoreError>>;

  /** `store.compareAndSwap` with the store timeout of leases. */
  readonly write: (
    ...parameters: Parameters<Store['compareAndSwap']>
  ) => Promise<Result<StoreRevision, StoreError>>;
}
