import type { Priority } from '@buckthornslip/common';

/**
 * Share of the burst that a call of each priority must leave available for more important calls.
 *
 * @internal
 */
export const reservedShares: Readonly<Record<Priority, number>> = {
  critical: 0,
  high: 0.1,
  normal: 0.3,
  low: 0.5,
};

/**
 * Share of the burst that a call with a large body must leave available for all other calls.
 *
 * @internal
 */
export const LARGE_BODY_RESERVED_SHARE = 0.6;
