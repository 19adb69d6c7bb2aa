import type { LeaseManager } from '@buckthornslip/leases';

/**
 * Finds the holder of an idempotency partition.
 *
 * @public
 */
export type IdempotencyLocator = Pick<LeaseManager, 'locate' | 'forgetLocation'>;
