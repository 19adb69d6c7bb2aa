import { isSameNode } from '@buckthornslip/common';

import type { LeaseNode } from '../node/LeaseNode';
import type { ExtensionRequest } from '../peers/ExtensionRequest';
import { withTimeout } from '../timing/withTimeout';
import { extendHold } from './extendHold';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState, Tenure } from './PartitionState';
import { possibleCandidates } from './possibleCandidates';
import { remainingHold } from './remainingHold';

/** Each candidate is asked again once, because one message may be lost. */
const ASKS_PER_ROUND = 2;

async function isAgreed(
  context: LeaseContext,
  candidate: LeaseNode,
  request: ExtensionRequest,
): Promise<boolean> {
  const { clock, durations, peers, incarnations } = context;
  for (let ask = 0; ask < ASKS_PER_ROUND; ask += 1) {
    // A candidate that is gone can never take over, so its promise is not needed.
    if (incarnations.isGone(candidate)) return true;
    const asked = peers.requestExtension(candidate, request);
    const answer = await withTimeout(clock, durations.peerTimeout, asked);
    if (answer) incarnations.note(answer.responder);
    if (answer?.promised) return isSameNode(answer.responder, candidate);
  }
  return incarnations.isGone(candidate);
}

/**
 * Asks all candidates to promise not to take over, and extends the hold if all of them do.
 *
 * Only a hold that has not lapsed is extended: after a lapse, a candidate that is gone may have left a
 * takeover on its way to the store.
 *
 * @internal
 */
export async function runPromiseRound(
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
  const agreements = await Promise.all(
    candidates.map((candidate) =>
      isAgreed(context, candidate, {
        partition,
        epoch,
        holder,
        candidate: { host: candidate.host, incarnation: candidate.incarnation },
        termMilliseconds: durations.term,
      }),
    ),
  );
  const missing = candidates.filter((_, index) => !agreements[index]).map(({ host }) => host);
  if (missing.length > 0) {
    logger.log('leasePromiseMissing', { partition, epoch, missing });
  } else if (remainingHold(clock, state, epoch) > 0) {
    extendHold(context, state, sentMilliseconds);
  }
}
