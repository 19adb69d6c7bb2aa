import type { AccountId, KeyId, Result } from '@buckthornslip/common';

import type { KeyRecord } from '../configuration/KeyRecord';
import type { PublicationRefusal } from './PublicationRefusal';
import type { PublicationResult } from './PublicationResult';
import type { PublishedConfiguration } from './PublishedConfiguration';

/**
 * Publishes changes of the configuration to the store.
 *
 * @public
 */
export interface Publisher {
  /**
   * @param tomlText - The new manifest.
   * @param requiredRevision - If given, the publication fails unless this is the current revision; 0 means that
   *   nothing has been published yet.
   */
  readonly publishManifest: (
    tomlText: string,
    requiredRevision?: number,
  ) => Promise<PublicationResult>;

  /**
   * @param account - Account to grant a new key to.
   * @returns The key, which is not stored anywhere, its id, and the result. The caller may use
   *   the key only if the result is `published`.
   */
  readonly grantKey: (account: AccountId) => Promise<{
    readonly key: string;
    readonly keyId: KeyId;
    readonly result: PublicationResult;
  }>;

  /** @param keyId - Key to withdraw permanently. Idempotent. */
  readonly withdrawKey: (keyId: KeyId) => Promise<PublicationResult>;

  readonly listKeys: () => Promise<Result<readonly KeyRecord[], PublicationRefusal>>;

  /** @returns The current revision, or undefined if nothing has been published yet. */
  readonly read: () => Promise<Result<PublishedConfiguration | undefined, PublicationRefusal>>;
}
