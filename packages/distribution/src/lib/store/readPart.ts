import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import type { PartReference } from '../revision/PartReference';
import { partKeys } from '../revision/partKeys';
import type { RevisionError } from '../revision/RevisionError';
import type { ConfigurationStore } from './ConfigurationStore';
import type { ConfigurationStoreError } from './ConfigurationStoreError';

/**
 * @param store - The platform's store.
 * @param part - A part of a revision.
 * @returns The compressed part, or `part-missing` if a newer publication removed it; in that case the head has changed.
 * @internal
 */
export async function readPart(
  store: ConfigurationStore,
  part: PartReference,
): Promise<Result<Buffer, ConfigurationStoreError | RevisionError>> {
  const chunks: Uint8Array[] = [];
  for (const key of partKeys(part)) {
    const entry = await store.get(key);
    if (!entry.ok) return entry;
    if (entry.value === undefined) return failure({ kind: 'part-missing', digest: part.digest });
    chunks.push(entry.value.value);
  }
  return success(Buffer.concat(chunks));
}
