import type { RegionId } from '@buckthornslip/common';

import { FULL_SHARE } from './FULL_SHARE';
import type { AccountSplit } from './SplitRecord';

/** Part that a region always keeps of a divided account, for calls that begin to arrive there. */
const MIN_PART = 0.05 * FULL_SHARE;

/** A part smaller than this is not worth a write. */
const MIN_MOVE = 0.01 * FULL_SHARE;

/** A region is short when its demand exceeds this share of its part. */
const SHORTAGE_SHARE = 0.8;

/** Another region takes over a whole account when its demand exceeds the owner's by this factor. */
const TAKEOVER_FACTOR = 2;

/**
 * A part of an account that one region gives to another.
 *
 * @internal
 */
export interface SplitMove {
  readonly recipient: RegionId;
  readonly part: number;
}

/**
 * Plans what a region gives away of a divided account.
 *
 * @param split - The account's split.
 * @param giver - The region that may give.
 * @param ownWant - The giver's demand, in millionths of the rate.
 * @returns The move, or undefined if everything stays.
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
  // In proportion to demand, so that all regions have the same reserve.
  const fairPart = (region: RegionId): number =>
    Math.max(MIN_PART, (FULL_SHARE * (demands.get(region) ?? 0)) / total);
  const spare = (split.parts.get(donor) ?? 0) - fairPart(donor);
  let best: SplitMove | undefined;
  for (const [recipient, demand] of demands) {
    const recipientPart = split.parts.get(recipient) ?? 0;
    const isShort = recipient !== donor && demand > recipientPart * SHORTAGE_SHARE;
    const shortage = isShort ? fairPart(recipient) - recipientPart : 0;
    const part = Math.floor(Math.min(spare, shortage));
    if (part >= MIN_MOVE && part > (best?.part ?? 0)) best = { recipient, part };
  }
  return best;
}

/**
 * Plans the move of an account that belongs to one region as a whole.
 *
 * @param part - The owner's part.
 * @param owner - The region that owns the account.
 * @param demands - Demand by region, over a long time.
 * @returns The move, or undefined if the account stays.
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
