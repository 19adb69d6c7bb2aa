import type { StoreEvent, StoreListing } from '@buckthornslip/platform';

/**
 * @param _source - Something that the store has returned.
 * @returns The era of the store in which it was returned; 0, because stores do not state their era yet.
 * @internal
 */
export function storeEraOf(_source: StoreListing | StoreEvent): number {
  return 0;
}
