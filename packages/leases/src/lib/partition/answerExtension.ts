import { isSameNode } from '@buckthornslip/common';

import type { ExtensionAnswer } from '../peers/ExtensionAnswer';
import type { ExtensionRequest } from '../peers/ExtensionRequest';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState } from './PartitionState';

function mayGrant(
  { self, incarnations }: LeaseContext,
  state: PartitionState,
  { candidate, holder, epoch }: ExtensionRequest,
): boolean {
  // A takeover that was sent may still take effect, so until its result is known nothing can be granted.
  if (state.pendingTakeoverRevision !== undefined) return false;
  if (!isSameNode(candidate, self) || incarnations.isSuperseded(holder)) return false;
  if (epoch < state.highestEpoch) return false;
  const record = state.lastSeen?.record;
  return record?.epoch !== epoch || (isSameNode(record.holder, holder) && !record.handedOver);
}

/**
 * Grants a holder an extension, after which this node does not take over for a term and its margin from now.
 * Refuses if this node may already have taken over or knows a newer holder.
 *
 * @internal
 */
export function answerExtension(
  context: LeaseContext,
  state: PartitionState,
  request: ExtensionRequest,
): ExtensionAnswer {
  const { clock, self, marginFraction, logger } = context;
  const { epoch, holder, termMilliseconds, partition } = request;
  const responder = { host: self.host, incarnation: self.incarnation };
  context.incarnations.add(holder);
  if (!mayGrant(context, state, request)) {
    logger.log('leasePromiseRefused', { partition, epoch, holder: holder.host });
    return { promised: false, responder };
  }
  const durationMilliseconds = termMilliseconds * (1 + marginFraction);
  const previous =
    state.grantedExtension?.epoch === epoch ? state.grantedExtension.untilMilliseconds : 0;
  const untilMilliseconds = Math.max(
    previous,
    clock.monotonicMilliseconds() + durationMilliseconds,
  );
  const highestEpoch = Math.max(state.highestEpoch, epoch);
  state.update({ grantedExtension: { epoch, untilMilliseconds }, highestEpoch });
  return { promised: true, responder };
}
