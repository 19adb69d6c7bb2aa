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
  readonly follow: (hold: HeldLease | undefined) => void;
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

  const createHeldPartition = (group: number, first: HeldLease): HeldPartition => {
    let abort: AbortController | undefined;
    let wake = (): void => undefined;
    const shares = createPartitionShares(options, group, first, () => wake());
    const synchronizer = createSplitSynchronizer({
      ...options,
      key: `limits/split/${group}`,
      host: shares.host,
    });
    wake = synchronizer.wake;
    const follow = (hold: HeldLease | undefined): void => {
      const event = hold ? 'limitPartitionClaimed' : 'limitPartitionLost';
      if (Boolean(hold) === Boolean(abort)) return;
      logger.log(event, { partition: first.partition, epoch: first.epoch });
      abort?.abort();
      abort = hold && new AbortController();
      if (abort) void synchronizer.run(abort.signal);
    };
    return { shares, follow };
  };

  const onHold = (partition: PartitionId, group: number, hold: HeldLease | undefined): void => {
    let held = heldPartitions.get(partition);
    if (hold && held?.shares.epoch !== hold.epoch) {
      held?.follow(undefined);
      held = createHeldPartition(group, hold);
      heldPartitions.set(partition, held);
    }
    // Keeps the state of a lost epoch: if the same epoch resumes, its sequence numbers must not restart.
    held?.follow(hold);
  };

  const subscriptions = partitions.map((partition, group) =>
    leases.heldLeaseChanges(partition).subscribe((hold) => onHold(partition, group, hold)),
  );

  return {
    handle: (request) => {
      const hold = leases.heldLease(request.partition);
      const shares = heldPartitions.get(request.partition)?.shares;
      const isHeld = hold && hold.remainingMilliseconds() > 0 && shares?.epoch === hold.epoch;
      return isHeld ? shares.handle(request, hold) : { kind: 'not-holder' };
    },
    stop: () => {
      subscriptions.forEach((subscription) => subscription.unsubscribe());
      heldPartitions.forEach((held) => held.follow(undefined));
    },
  };
}
