import type { Manifest } from '@buckthornslip/config';

import type { KeyRecord } from './KeyRecord';

/**
 * Content of one published revision of the configuration.
 *
 * @public
 */
export interface ConfigurationSnapshot {
  /** Incremented by each accepted publication, key grant or key withdrawal. */
  readonly revision: number;
  readonly manifest: Manifest;
  /** Keys by digest. */
  readonly keys: ReadonlyMap<string, KeyRecord>;
}
