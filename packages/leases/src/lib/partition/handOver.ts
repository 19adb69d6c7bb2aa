import { isSameNode } from '@buckthornslip/common';

import type { LeaseRecord } from '../manager/LeaseRecord';
import type { LeaseNode } from '../node/LeaseNode';
import { leaseKey } from '../record/leaseKey';
import { rankMembers } from '../selection/rankMembers';
import type { LeaseContext } from './LeaseContext';
import { observeEntry } from './observeEntry';
import type { PartitionState } from './PartitionState';
import { publishHeldLease } from './publishHeldLease';
import { writeRecord } from './writeRecord';

/** Maximum number of attempts to write the handover. If all fail, the candidates take over when the term expires. */
const HANDOVER_ATTEMPTS = 3;

/** Number of nodes to notify if there are no candidates. */
const NON_CANDIDATES_NOTIFIED = 3;

function successors(context: LeaseContext, record: LeaseRecord): readonly LeaseNode[] {
  if (record.candidates.length > 0) return record.candidates;
  const { partition } = record;
  const others = context.eligible(partition).filter(({ host }) => host !== context.self.host);
  return rankMembers(partition, others).slice(0, NON_CANDIDATES_NOTIFIED);
}

/**
 * Hands over the lease of a partition. The lease ends here before the handover is written, because a
 * candidate may take over as soon as the write takes effect.
 *
 * @internal
 */
export async function handOver(context: LeaseContext, state: PartitionState): Promise<void> {
  const { self, clock, durations, peers, logger } = context;
  const { partition } = state;
  state.update({ isClosing: true });
  publishHeldLease(context, state);
  for (let attempt = 0; attempt < HANDOVER_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await clock.sleep(durations.lookupInterval);
    const result = await context.read(leaseKey(partition));
    if (!result.ok) continue;
    observeEntry(context, state, result.value);
    const record = state.lastSeen?.record;
    if (!record || record.handedOver || !isSameNode(record.holder, self)) return;
    const written = await writeRecord(context, state, { ...record, handedOver: true }, false);
    if (!written.ok) continue;
    logger.log('leaseHandedOver', { partition, epoch: record.epoch });
    await Promise.all(
      successors(context, record).map((node) =>
        peers.refresh(node, partition).catch(() => undefined),
      ),
    );
    return;
  }
  logger.log('leaseHandoverFailed', { partition });
}
