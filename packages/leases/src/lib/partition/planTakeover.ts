import { isSameNode } from '@buckthornslip/common';

import { rankMembers } from '../selection/rankMembers';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState, SeenRecord } from './PartitionState';

/**
 * The reason why a node may take over a partition.
 *
 * @internal
 */
export type TakeoverReason = 'first' | 'handed-over' | 'holder-gone' | 'expired' | 'outage';

/** A takeover that is allowed from a given time of the monotonic clock. */
export interface TakeoverPlan {
  readonly reason: TakeoverReason;
  readonly fromMilliseconds: number;
  /** Whether this node lacks the state of the earlier holder. */
  readonly isWithoutState: boolean;
}

/** Rank of this node among the eligible members; undefined if it is not eligible. */
function rankOfSelf({ self, eligible }: LeaseContext, state: PartitionState): number | undefined {
  const ranked = rankMembers(state.partition, eligible(state.partition));
  const rank = ranked.findIndex((member) => isSameNode(member, self));
  return rank === -1 ? undefined : rank;
}

function planAsCandidate(
  context: LeaseContext,
  state: PartitionState,
  { record, firstSeenMilliseconds }: SeenRecord,
): TakeoverPlan {
  const isWithoutState = false;
  if (record.handedOver) return { reason: 'handed-over', fromMilliseconds: 0, isWithoutState };
  if (context.incarnations.isSuperseded(record.holder)) {
    return { reason: 'holder-gone', fromMilliseconds: 0, isWithoutState };
  }
  const waitMilliseconds = record.termMilliseconds * (1 + context.marginFraction);
  const extensionEndMilliseconds =
    state.grantedExtension?.epoch === record.epoch ? state.grantedExtension.untilMilliseconds : 0;
  const fromMilliseconds = Math.max(
    firstSeenMilliseconds + waitMilliseconds,
    extensionEndMilliseconds,
  );
  return { reason: 'expired', fromMilliseconds, isWithoutState };
}

function planAsNonCandidate(
  context: LeaseContext,
  rank: number,
  { record, firstSeenMilliseconds }: SeenRecord,
): TakeoverPlan {
  const { durations, incarnations } = context;
  const isWithoutState = true;
  const liveCandidates = record.candidates.filter(
    (candidate) => !incarnations.isSuperseded(candidate),
  );
  // Candidates have the holder's state, so they go first.
  const delayMilliseconds =
    (rank + (liveCandidates.length > 0 ? 1 : 0)) * durations.renewalInterval;
  const fromMilliseconds = firstSeenMilliseconds + delayMilliseconds;
  if (record.handedOver) return { reason: 'handed-over', fromMilliseconds, isWithoutState };
  if (incarnations.isSuperseded(record.holder) && liveCandidates.length === 0) {
    return { reason: 'holder-gone', fromMilliseconds, isWithoutState };
  }
  const outageEndMilliseconds = firstSeenMilliseconds + durations.nonCandidateWait;
  return { reason: 'outage', fromMilliseconds: outageEndMilliseconds, isWithoutState };
}

/**
 * Determines when this node may take over.
 *
 * @returns The takeover allowed by the state known now, or undefined if there is none.
 * @internal
 */
export function planTakeover(
  context: LeaseContext,
  state: PartitionState,
): TakeoverPlan | undefined {
  const { lastSeen, absentSinceMilliseconds, isClosing } = state;
  if (isClosing) return undefined;
  const isCandidate = lastSeen?.record.candidates.some((node) => isSameNode(node, context.self));
  // Reading the eligible members also updates the incarnation registry.
  const rank = rankOfSelf(context, state);
  // Other nodes consider a superseded incarnation ended and don't wait for its term to expire.
  if (context.incarnations.isSuperseded(context.self)) return undefined;
  if (lastSeen && isCandidate) return planAsCandidate(context, state, lastSeen);
  if (rank === undefined) return undefined;
  if (lastSeen) return planAsNonCandidate(context, rank, lastSeen);
  if (absentSinceMilliseconds === undefined) return undefined;
  const fromMilliseconds = absentSinceMilliseconds + rank * context.durations.renewalInterval;
  return { reason: 'first', fromMilliseconds, isWithoutState: true };
}
