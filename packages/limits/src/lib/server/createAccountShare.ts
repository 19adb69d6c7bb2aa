import type { AccountDefinition } from '@buckthornslip/config';

import { FULL_SHARE } from '../split/FULL_SHARE';
import type { AccountShare } from './AccountShare';
import { createDemandByRegion } from './createDemandByRegion';
import { createShareBucket } from './createShareBucket';

/**
 * Creates a region's share of one account.
 *
 * @param now - Monotonic time in milliseconds.
 * @param frozenUntilMilliseconds - Time before which the bucket is not refilled.
 * @param isFull - Whether the bucket starts full.
 * @param demandAverageMilliseconds - Time over which demand is averaged.
 * @returns A share with a part of zero.
 * @internal
 */
export function createAccountShare(
  now: () => number,
  frozenUntilMilliseconds: number,
  isFull: boolean,
  demandAverageMilliseconds: number,
): AccountShare {
  const bucket = createShareBucket(now, frozenUntilMilliseconds, isFull);
  let appliedRate = 0;
  let appliedBurst = 0;
  let appliedPart = 0;

  const apply = ({ ratePerSecond, burst }: AccountDefinition, part: number): void => {
    const isSame = appliedRate === ratePerSecond && appliedBurst === burst && appliedPart === part;
    if (isSame) return;
    appliedRate = ratePerSecond;
    appliedBurst = burst;
    appliedPart = part;
    bucket.resize((ratePerSecond * part) / FULL_SHARE, (burst * part) / FULL_SHARE);
  };

  return {
    bucket,
    demand: createDemandByRegion(now, demandAverageMilliseconds),
    part: () => appliedPart,
    apply,
    redefine: (definition) => apply(definition, appliedPart),
  };
}
