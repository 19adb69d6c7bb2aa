import type { ConfigurationSnapshot } from '../configuration/ConfigurationSnapshot';
import type { KeyRecord } from '../configuration/KeyRecord';
import type { ConfigurationHead } from './ConfigurationHead';

/**
 * A revision whose head and parts have all been validated.
 *
 * @internal
 */
export interface InstalledRevision {
  readonly head: ConfigurationHead;
  /** The head exactly as stored; signatures are computed over these bytes. */
  readonly headBytes: Buffer;
  readonly snapshot: ConfigurationSnapshot;
  /** Compressed parts by digest, served to peers. */
  readonly parts: ReadonlyMap<string, Uint8Array>;
  /** Decoded parts of the key log by digest, cached so that the next revision decodes only new parts. */
  readonly keyRecords: ReadonlyMap<string, readonly KeyRecord[]>;
}
