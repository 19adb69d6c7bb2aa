import type { Brand } from '@buckthornslip/common';

/**
 * Number of times that the store was restored from a backup, as the store states it; 0 if it states none. Revisions and
 * leases of different eras can't be compared, because a restored store assigns the same numbers again.
 *
 * @public
 */
export type StoreEra = Brand<number, 'StoreEra'>;
