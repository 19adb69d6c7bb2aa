import type { AccountDefinition } from '@buckthornslip/config';

/** Longest time for which tokens are fetched ahead, in milliseconds: half the life of a grant. */
const MAX_HORIZON_MILLISECONDS = 500;

/** Shortest time for which tokens are fetched ahead, in milliseconds. */
const MIN_HORIZON_MILLISECONDS = 20;

/** Share of the burst that all nodes together have at hand at full rate. */
const BURST_SHARE = 0.25;

/**
 * Time for which an entry node fetches tokens ahead. Tokens at hand count against the account's
 * burst, so that the time is short where the burst is small compared with the rate.
 *
 * @param account - The account.
 * @returns The time in milliseconds.
 * @internal
 */
export function prefetchHorizon({ burst, ratePerSecond }: AccountDefinition): number {
  const byBurst = (BURST_SHARE * burst * 1_000) / ratePerSecond;
  return Math.min(MAX_HORIZON_MILLISECONDS, Math.max(MIN_HORIZON_MILLISECONDS, byBurst));
}
