import { idempotencyPartition } from '@buckthornslip/calls';
import type { Clock, PartitionId, RegionId } from '@buckthornslip/common';
import type { LeaseManager } from '@buckthornslip/leases';
import { limitsPartitionsOf } from '@buckthornslip/limits';
import type { MembershipNode } from '@buckthornslip/membership';

import type { IdempotencyRegistries } from '../leases/IdempotencyRegistries';
import type { PartitionParticipation } from './PartitionParticipation';

/** Interval between checks for partitions that this node has become eligible for, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 500;

/**
 * Creates the participation of a node in partition leases. A node takes part in the idempotency registry of its own
 * service, and a zone contact also in the limits partitions of its region.
 *
 * @param options - Dependencies of the node.
 * @returns The participation, not started.
 * @internal
 */
export function createPartitionParticipation(options: {
  readonly clock: Clock;
  readonly region: RegionId;
  readonly membership: MembershipNode;
  readonly leases: LeaseManager;
  readonly registries: IdempotencyRegistries;
}): PartitionParticipation {
  const { clock, region, membership, leases, registries } = options;
  const participating = new Set<PartitionId>();
  const closing = new AbortController();

  const participate = (partition: PartitionId): void => {
    if (participating.has(partition)) return;
    participating.add(partition);
    registries.open(partition);
    leases.participate(partition);
  };

  const joinEligiblePartitions = (): void => {
    const { service, state } = membership.self();
    if (service && state === 'ready') participate(idempotencyPartition(service));
    if (membership.isContact()) limitsPartitionsOf(region).forEach(participate);
  };

  const runUntilClosed = async (): Promise<void> => {
    while (!closing.signal.aborted) {
      joinEligiblePartitions();
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, closing.signal);
    }
  };

  return {
    run: () => {
      void runUntilClosed();
    },
    heldPartitions: () => [...participating].filter((partition) => leases.heldLease(partition)),
    close: () => closing.abort(),
  };
}
