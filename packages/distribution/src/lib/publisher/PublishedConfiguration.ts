import type { KeyRecord } from '../configuration/KeyRecord';

/**
 * Content of the current revision in the store.
 *
 * @public
 */
export interface PublishedConfiguration {
  readonly revision: number;
  readonly manifestText: string;
  readonly keys: readonly KeyRecord[];
}
