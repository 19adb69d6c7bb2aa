import type { StoreEra } from './StoreEra';

/**
 * Era of a store that states none.
 *
 * @public
 */
export const NO_STORE_ERA = 0 as StoreEra;
