import type { StoreEra } from './StoreEra';

/**
 * Options of a watch.
 *
 * @public
 */
export interface StoreWatchOptions {
  /**
   * Era to which the first revision belongs; by default, that of the store when the watch begins. In another era the watch begins
   * with all current entries.
   */
  readonly fromEra?: StoreEra;
  /**
   * @returns Part of the usual time until the store confirms that there is no change, after which it does so for the first time
   *   after a change. Watchers with different parts are confirmed in turn. A store that pushes changes ignores it.
   */
  readonly firstConfirmationShare?: () => number;
}
