import type { LeaseManager } from '@buckthornslip/leases';

/**
 * Finds the holder of a home's partition.
 *
 * @public
 */
export type IdempotencyLocator = Pick<LeaseManager, 'locate' | 'forgetLocation'>;
