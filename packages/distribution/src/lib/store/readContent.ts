import type { Result } from '@buckthornslip/common';

import { decompressPart } from '../revision/decompressPart';
import type { PartReference } from '../revision/PartReference';
import type { RevisionError } from '../revision/RevisionError';
import type { ConfigurationStore } from './ConfigurationStore';
import type { ConfigurationStoreError } from './ConfigurationStoreError';
import { readPart } from './readPart';

/**
 * @param store - The platform's store.
 * @param part - A part of a revision.
 * @returns The decompressed content of the part, verified against its digest.
 * @internal
 */
export async function readContent(
  store: ConfigurationStore,
  part: PartReference,
): Promise<Result<Buffer, ConfigurationStoreError | RevisionError>> {
  const compressed = await readPart(store, part);
  return compressed.ok ? decompressPart(compressed.value, part.digest) : compressed;
}
