import type { AccountId, KeyId } from '@buckthornslip/common';

/**
 * A client account's key, identified by its digest. The key itself is never stored.
 *
 * @public
 */
export interface KeyRecord {
  readonly id: KeyId;
  readonly account: AccountId;
  /** SHA-256 of the key, in lower-case hexadecimal. */
  readonly digest: string;
  readonly state: 'granted' | 'withdrawn';
}
