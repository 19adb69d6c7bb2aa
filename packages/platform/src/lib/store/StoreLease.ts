import type { StoreEra } from './StoreEra';
import type { StoreLeaseId } from './StoreLeaseId';

/**
 * A lease that the store granted.
 *
 * @public
 */
export interface StoreLease {
  readonly id: StoreLeaseId;
  readonly timeToLiveMilliseconds: number;
  /** Era in which it was granted; in another one the id may name a different lease. */
  readonly era: StoreEra;
}
