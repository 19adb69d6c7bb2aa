import type { StoreEra, StoreRevision } from '@buckthornslip/platform';

/**
 * A revision of the store with the era to which it belongs.
 *
 * @internal
 */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: StoreRevision;
}
