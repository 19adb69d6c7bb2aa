import type { ZoneId } from '@buckthornslip/common';

/**
 * The zones that the operator has ordered to be evacuated, as the store stated them.
 *
 * @internal
 */
export interface EvacuationStatement {
  /** Era of the store in which the orders were read. */
  readonly era: number;
  /** Revision of the store at which the orders were read. */
  readonly revision: number;
  readonly zones: ReadonlySet<ZoneId>;
}
