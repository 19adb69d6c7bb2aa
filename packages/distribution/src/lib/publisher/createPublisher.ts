import type { Clock, KeyId } from '@buckthornslip/common';
import { success } from '@buckthornslip/common';
import { v7 as createOrderedUuid } from 'uuid';

import type { KeyRecord } from '../configuration/KeyRecord';
import { digestKey } from '../keys/digestKey';
import { generateKey } from '../keys/generateKey';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import type { DraftBuilder } from './DraftBuilder';
import { createGrantBuilder } from './createGrantBuilder';
import { createManifestBuilder } from './createManifestBuilder';
import { createWithdrawalBuilder } from './createWithdrawalBuilder';
import type { PublicationResult } from './PublicationResult';
import { publishRevision } from './publishRevision';
import type { Publisher } from './Publisher';
import { readPublished } from './readPublished';

/**
 * Attempts to grant or withdraw a key when other publishers cause conflicts. Key changes do not depend on concurrent
 * changes, so it is safe to rebuild them on top of the newer revision.
 */
const MAXIMUM_KEY_CHANGE_ATTEMPTS = 8;

function isRetryable(result: PublicationResult): boolean {
  if (result.kind === 'conflict') return true;
  if (result.kind !== 'not-published') return false;
  const { refusal } = result;
  return refusal.kind === 'revision-unreadable' && refusal.error.kind === 'part-missing';
}

/**
 * Creates a publisher.
 *
 * @param store - The platform's store.
 * @param options - Clock for retry delays, and the fleet secret that signs heads.
 * @returns The publisher.
 * @public
 */
export function createPublisher(
  store: ConfigurationStore,
  options: { readonly clock: Clock; readonly fleetSecret: string },
): Publisher {
  const context = { store, ...options };
  const publishKeyChange = async (buildDraft: DraftBuilder): Promise<PublicationResult> => {
    let result = await publishRevision(context, buildDraft);
    for (
      let attempt = 1;
      attempt < MAXIMUM_KEY_CHANGE_ATTEMPTS && isRetryable(result);
      attempt += 1
    ) {
      result = await publishRevision(context, buildDraft);
    }
    return result;
  };
  return {
    publishManifest: (tomlText, requiredRevision) =>
      publishRevision(context, createManifestBuilder(tomlText), requiredRevision),
    grantKey: async (account) => {
      const key = generateKey();
      const keyId = createOrderedUuid() as KeyId;
      const record: KeyRecord = { id: keyId, account, digest: digestKey(key), state: 'granted' };
      return { key, keyId, result: await publishKeyChange(createGrantBuilder(store, record)) };
    },
    withdrawKey: (keyId) => publishKeyChange(createWithdrawalBuilder(store, keyId)),
    listKeys: async () => {
      const published = await readPublished(store);
      return published.ok ? success(published.value?.keys ?? []) : published;
    },
    read: () => readPublished(store),
  };
}
