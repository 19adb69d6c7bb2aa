import type { PartitionId } from '@buckthornslip/common';
import type { HeldLease } from '@buckthornslip/leases';

import { limitsPartitionsOf } from '../groups/limitsPartitionsOf';
import { createSplitSynchronizer } from '../split/createSplitSynchronizer';
import { createPartitionShares } from './createPartitionShares';
import type { PartitionShares } from './createPartitionShares';
import type { TokenServer } from './TokenServer';
import type { TokenServerOptions } from './TokenServerOptions';

interface HeldPartition {
  readonly shares: PartitionShares;
  readonly onLeaseUpdate: (lease: HeldLease | undefined) => void;
}

/**
 * Creates the token server of a node. It subscribes to the leases of its region's limits partitions.
 *
 * @param options - Dependencies and settings.
 * @returns The token server.
 * @public
 */
export function createTokenServer(options: TokenServerOptions): TokenServer {
  const { leases, logger } = options;
  const partitions = limitsPartitionsOf(options.region);
  const heldPartitions = new Map<PartitionId, HeldPartition>();

  const createHeldPartition = (group: number, initialLease: HeldLease): HeldPartition => {
    let abort: AbortController | undefined;
    let wake = (): void => undefined;
    const shares = createPartitionShares(options, group, initialLease, () => wake());
    const synchronizer = createSplitSynchronizer({
      ...options,
      key: `limits/split/${group}`,
      host: shares.host,
    });
    wake = synchronizer.wake;
    const onLeaseUpdate = (lease: HeldLease | undefined): void => {
      const event = lease ? 'limitPartitionClaimed' : 'limitPartitionLost';
      if (Boolean(lease) === Boolean(abort)) return;
      logger.log(event, { partition: initialLease.partition, epoch: initialLease.epoch });
      abort?.abort();
      abort = lease && new AbortController();
      if (abort) void synchronizer.run(abort.signal);
    };
    return { shares, onLeaseUpdate };
  };

  const onLeaseChange = (
    partition: PartitionId,
    group: number,
    lease: HeldLease | undefined,
  ): void => {
    let held = heldPartitions.get(partition);
    if (lease && held?.shares.epoch !== lease.epoch) {
      held?.onLeaseUpdate(undefined);
      held = createHeldPartition(group, lease);
      heldPartitions.set(partition, held);
    }
    // Keeps the state of a lost epoch: if the same epoch resumes, its sequence numbers must not restart.
    held?.onLeaseUpdate(lease);
  };

  const subscriptions = partitions.map((partition, group) =>
    leases.heldLeaseChanges(partition).subscribe((lease) => onLeaseChange(partition, group, lease)),
  );

  return {
    handle: (request) => {
      const lease = leases.heldLease(request.partition);
      const shares = heldPartitions.get(request.partition)?.shares;
      const isHeld = lease && lease.remainingMilliseconds() > 0 && shares?.epoch === lease.epoch;
      return isHeld ? shares.handle(request, lease) : { kind: 'not-holder' };
    },
    stop: () => {
      subscriptions.forEach((subscription) => subscription.unsubscribe());
      heldPartitions.forEach((held) => held.onLeaseUpdate(undefined));
    },
  };
}
