import type { ZoneId } from '@buckthornslip/common';
import type { StoreEvent, StoreListing } from '@buckthornslip/platform';
import type { Observable } from 'rxjs';

import type { EvacuationStatement } from './EvacuationStatement';

/**
 * What a node knows of the zones that the operator has ordered to be evacuated.
 *
 * @internal
 */
export interface EvacuationOrders {
  /** @returns The newest statement of the store; undefined until the node has read one or has been told of one. */
  readonly statement: () => EvacuationStatement | undefined;
  /** @returns Zones whose orders are in force, also those whose orders an earlier era of the store had. */
  readonly zones: () => ReadonlySet<ZoneId>;
  /** Emits after the zones have changed, and when they become known. */
  readonly changes: Observable<ReadonlySet<ZoneId>>;
  /** @returns Order keys in the last listing whose names are not those of zones. */
  readonly unreadableKeys: () => number;
  /** Takes over the statement of another node if it is newer. */
  readonly learn: (statement: EvacuationStatement, source: string) => void;
  /**
   * Takes over a listing of the store.
   *
   * @param listing - All entries with the watched prefix.
   * @param before - The statement known when the listing was requested. The listing replaces it even if its revision is
   *   lower, because then another node has stated a wrong one.
   */
  readonly replace: (listing: StoreListing, before?: EvacuationStatement) => void;
  /** Applies a change that the store reports after a listing. */
  readonly apply: (event: StoreEvent & { readonly kind: 'put' | 'removed' }) => void;
  readonly close: () => void;
}
