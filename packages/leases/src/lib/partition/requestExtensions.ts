import { isSameNode } from '@buckthornslip/common';

import type { LeaseNode } from '../node/LeaseNode';
import type { ExtensionRequest } from '../peers/ExtensionRequest';
import { withTimeout } from '../timing/withTimeout';
import { extendLease } from './extendLease';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState, Tenure } from './PartitionState';
import { possibleCandidates } from './possibleCandidates';
import { remainingLease } from './remainingLease';

/** Each candidate is asked twice, because a message may be lost. */
const ATTEMPTS_PER_CANDIDATE = 2;

async function isGranted(
  context: LeaseContext,
  candidate: LeaseNode,
  request: ExtensionRequest,
): Promise<boolean> {
  const { clock, durations, peers, incarnations } = context;
  for (let attempt = 0; attempt < ATTEMPTS_PER_CANDIDATE; attempt += 1) {
    // A superseded candidate can't take over, so its grant is not needed.
    if (incarnations.isSuperseded(candidate)) return true;
    const response = peers.requestExtension(candidate, request);
    const answer = await withTimeout(clock, durations.peerTimeout, response);
    if (answer) incarnations.add(answer.responder);
    if (answer?.promised) return isSameNode(answer.responder, candidate);
  }
  return incarnations.isSuperseded(candidate);
}

/**
 * Asks all candidates not to take over for another term, and extends the lease if all of them agree.
 *
 * An expired lease is not extended: after it expired, a candidate that has since been superseded may have
 * sent a takeover that is still in flight to the store.
 *
 * @internal
 */
export async function requestExtensions(
  context: LeaseContext,
  state: PartitionState,
  tenure: Tenure,
): Promise<void> {
  const { clock, durations, self, logger } = context;
  const { partition } = state;
  const { epoch } = tenure;
  const sentMilliseconds = clock.monotonicMilliseconds();
  const holder = { host: self.host, incarnation: self.incarnation };
  const candidates = possibleCandidates(state);
  context.eligible(partition);
  const grants = await Promise.all(
    candidates.map((candidate) =>
      isGranted(context, candidate, {
        partition,
        epoch,
        holder,
        candidate: { host: candidate.host, incarnation: candidate.incarnation },
        termMilliseconds: durations.term,
      }),
    ),
  );
  const missing = candidates.filter((_, index) => !grants[index]).map(({ host }) => host);
  if (missing.length > 0) {
    logger.log('leasePromiseMissing', { partition, epoch, missing });
  } else if (remainingLease(clock, state, epoch) > 0) {
    extendLease(context, state, sentMilliseconds);
  }
}
