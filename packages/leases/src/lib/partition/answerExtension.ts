import { isSameNode } from '@buckthornslip/common';

import type { ExtensionAnswer } from '../peers/ExtensionAnswer';
import type { ExtensionRequest } from '../peers/ExtensionRequest';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState } from './PartitionState';

function mayPromise(
  { self, incarnations }: LeaseContext,
  state: PartitionState,
  { candidate, holder, epoch }: ExtensionRequest,
): boolean {
  // A takeover that was sent may still take effect; until that is known, no promise can be kept.
  if (state.takeoverOnRevision !== undefined) return false;
  if (!isSameNode(candidate, self) || incarnations.isGone(holder)) return false;
  if (epoch < state.highestEpoch) return false;
  const record = state.seen?.record;
  return record?.epoch !== epoch || (isSameNode(record.holder, holder) && !record.handedOver);
}

/**
 * Promises a holder not to take over for a term and its margin from now, unless this node may already
 * have taken over or knows a newer holder.
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
  context.incarnations.note(holder);
  if (!mayPromise(context, state, request)) {
    logger.log('leasePromiseRefused', { partition, epoch, holder: holder.host });
    return { promised: false, responder };
  }
  const length = termMilliseconds * (1 + marginFraction);
  const previous = state.promise?.epoch === epoch ? state.promise.untilMilliseconds : 0;
  const untilMilliseconds = Math.max(previous, clock.monotonicMilliseconds() + length);
  const highestEpoch = Math.max(state.highestEpoch, epoch);
  state.update({ promise: { epoch, untilMilliseconds }, highestEpoch });
  return { promised: true, responder };
}
