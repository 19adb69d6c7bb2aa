import type { Result } from '@buckthornslip/common';
import { success } from '@buckthornslip/common';

import type { ConfigurationHead } from '../revision/ConfigurationHead';
import { decodeHead } from '../revision/decodeHead';
import { HEAD_KEY } from '../revision/HEAD_KEY';
import type { RevisionError } from '../revision/RevisionError';
import type { ConfigurationStore } from './ConfigurationStore';
import type { ConfigurationStoreError } from './ConfigurationStoreError';

/**
 * The head with its encoding and store revision.
 *
 * @internal
 */
export interface StoredHead {
  readonly head: ConfigurationHead;
  readonly headBytes: Uint8Array;
  /** Store revision of the key, the expected revision for the next compare-and-swap. */
  readonly storeRevision: number;
}

/**
 * @param store - The platform's store.
 * @returns The head, or undefined if nothing has been published yet.
 * @internal
 */
export async function readHead(
  store: ConfigurationStore,
): Promise<Result<StoredHead | undefined, ConfigurationStoreError | RevisionError>> {
  const entry = await store.get(HEAD_KEY);
  if (!entry.ok) return entry;
  if (entry.value === undefined) return success(undefined);
  const { value: headBytes, revision: storeRevision } = entry.value;
  const head = decodeHead(headBytes);
  return head.ok ? success({ head: head.value, headBytes, storeRevision }) : head;
}
