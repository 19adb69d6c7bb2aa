/**
 * Numbers of calls that a store has received, by kind.
 *
 * @public
 */
export interface StoreCallCounts {
  get: number;
  list: number;
  compareAndSwap: number;
  remove: number;
  /** Watches started; a watch counts as one call, however long it runs. */
  watch: number;
  lease: number;
}
