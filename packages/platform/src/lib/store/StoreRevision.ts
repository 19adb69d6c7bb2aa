import type { Brand } from '@buckthornslip/common';

/**
 * Revision of the store, which increases with each change to any key. 0 stands for an absent key.
 *
 * @public
 */
export type StoreRevision = Brand<number, 'StoreRevision'>;
