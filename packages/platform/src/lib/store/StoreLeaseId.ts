import type { Brand } from '@buckthornslip/common';

/**
 * Identifies a lease of the store. When a lease ends, the store removes the keys attached to it.
 *
 * @public
 */
export type StoreLeaseId = Brand<number, 'StoreLeaseId'>;
