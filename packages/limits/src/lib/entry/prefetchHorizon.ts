import type { AccountDefinition } from '@buckthornslip/config';

/** Maximum prefetch horizon in milliseconds: half the lifetime of a grant. */
const MAXIMUM_HORIZON_MILLISECONDS = 500;

/** Minimum prefetch horizon in milliseconds. */
const MINIMUM_HORIZON_MILLISECONDS = 20;

/** Fraction of the burst that all nodes together prefetch at full rate. */
const BURST_SHARE = 0.25;

/**
 * Computes for how much future demand an entry node prefetches tokens. Prefetched tokens count
 * against the account's burst, so the horizon is short if the burst is small compared with the rate.
 *
 * @param account - The account.
 * @returns The horizon in milliseconds.
 * @internal
 */
export function prefetchHorizon({ burst, ratePerSecond }: AccountDefinition): number {
  const byBurst = (BURST_SHARE * burst * 1_000) / ratePerSecond;
  return Math.min(MAXIMUM_HORIZON_MILLISECONDS, Math.max(MINIMUM_HORIZON_MILLISECONDS, byBurst));
}
