import type { RegionId } from '@buckthornslip/common';

import { FULL_SHARE } from './FULL_SHARE';
import type { AccountSplit } from './SplitRecord';

/** Minimum part of a divided account that each region keeps for calls that start to arrive there, in millionths. */
const MINIMUM_PART = 0.05 * FULL_SHARE;

/** Minimum part that is worth a write to the store, in millionths. */
const MINIMUM_MOVE = 0.01 * FULL_SHARE;

/** A region needs more when its demand exceeds this fraction of its part. */
const SHORTAGE_SHARE = 0.8;

/**
 * Another region takes over an undivided account when its demand exceeds the owner's by this
 * factor.
 */
const TAKEOVER_FACTOR = 2;

/**
 * Transfer of a part of an account from one region to another.
 *
 * @internal
 */
export interface SplitMove {
  readonly recipient: RegionId;
  readonly part: number;
}

/**
 * Plans which part of a divided account a region transfers to another region.
 *
 * @param split - The account's split.
 * @param donor - The region that may give up a part.
 * @param ownDemand - The donor's demand, in millionths of the rate.
 * @returns The move, or undefined if no part should move.
 * @internal
 */
export function planPartMove(
  split: AccountSplit,
  donor: RegionId,
  ownDemand: number,
): SplitMove | undefined {
  const demands = new Map(split.wants).set(donor, ownDemand);
  const total = [...demands.values()].reduce((sum, demand) => sum + demand, 0);
  if (total === 0) return undefined;
  // In proportion to demand, so that all regions have the same relative headroom.
  const fairPart = (region: RegionId): number =>
    Math.max(MINIMUM_PART, (FULL_SHARE * (demands.get(region) ?? 0)) / total);
  const spare = (split.parts.get(donor) ?? 0) - fairPart(donor);
  let best: SplitMove | undefined;
  for (const [recipient, demand] of demands) {
    const recipientPart = split.parts.get(recipient) ?? 0;
    const isShort = recipient !== donor && demand > recipientPart * SHORTAGE_SHARE;
    const shortage = isShort ? fairPart(recipient) - recipientPart : 0;
    const part = Math.floor(Math.min(spare, shortage));
    if (part >= MINIMUM_MOVE && part > (best?.part ?? 0)) best = { recipient, part };
  }
  return best;
}

/**
 * Plans the move of an undivided account, which belongs to a single region.
 *
 * @param part - The owner's part.
 * @param owner - The region that owns the account.
 * @param demands - Long-term average demand by region.
 * @returns The move, or undefined if the owner keeps the account.
 * @internal
 */
export function planAccountMove(
  part: number,
  owner: RegionId,
  demands: ReadonlyMap<RegionId, number>,
): SplitMove | undefined {
  let recipient = owner;
  let highest = TAKEOVER_FACTOR * (demands.get(owner) ?? 0);
  for (const [region, demand] of demands) {
    if (region !== owner && demand > highest) {
      recipient = region;
      highest = demand;
    }
  }
  return recipient === owner ? undefined : { recipient, part };
}
