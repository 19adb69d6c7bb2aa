import type { PartitionId } from '@buckthornslip/common';
import type { HeldLease } from '@buckthornslip/leases';

import { limitsPartitionsOf } from '../groups/limitsPartitionsOf';
import { createSplitKeeper } from '../split/createSplitKeeper';
import { createPartitionShares } from './createPartitionShares';
import type { PartitionShares } from './createPartitionShares';
import type { TokenServer } from './TokenServer';
import type { TokenServerOptions } from './TokenServerOptions';

interface HeldPartition {
  readonly shares: PartitionShares;
  readonly follow: (hold: HeldLease | undefined) => void;
}

/**
 * Creates the share holder of a node. It follows the leases of its region's limits partitions.
 *
 * @param options - Clock, leases, store and manifest.
 * @returns The share holder, which grants tokens of the partitions held.
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
    const keeper = createSplitKeeper({
      ...options,
      key: `limits/split/${group}`,
      host: shares.host,
    });
    wake = keeper.wake;
    const follow = (hold: HeldLease | undefined): void => {
      const event = hold ? 'limitPartitionClaimed' : 'limitPartitionLost';
      if (Boolean(hold) === Boolean(abort)) return;
      logger.log(event, { partition: first.partition, epoch: first.epoch });
      abort?.abort();
      abort = hold && new AbortController();
      if (abort) void keeper.run(abort.signal);
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
    // State of a lost epoch is kept: if the same epoch comes back, its numbers must not start again.
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
