import type { Result } from '@buckthornslip/common';
import { success } from '@buckthornslip/common';

import { partKeys } from '../revision/partKeys';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import type { ConfigurationStoreError } from '../store/ConfigurationStoreError';
import { mayHaveTakenEffect } from '../store/mayHaveTakenEffect';
import { CHUNK_BYTES } from './CHUNK_BYTES';
import type { NewPart } from './NewPart';

/** Attempts for each chunk. It is safe to give up: no head refers to the chunk yet. */
const MAXIMUM_ATTEMPTS = 3;

async function writeChunk(
  store: ConfigurationStore,
  key: string,
  value: Uint8Array,
): Promise<Result<number, ConfigurationStoreError>> {
  for (let attempt = 1; ; attempt += 1) {
    const written = await store.compareAndSwap(key, 0, value);
    // Only this publication writes the key, so a conflict means that an earlier attempt took effect.
    if (!written.ok && written.error.kind === 'conflict') return success(0);
    if (written.ok || !mayHaveTakenEffect(written.error) || attempt === MAXIMUM_ATTEMPTS)
      return written;
  }
}

/**
 * Writes the chunks of a part.
 *
 * @param store - The platform's store.
 * @param part - The part.
 * @returns Success when all chunks are in the store.
 * @internal
 */
export async function writePart(
  store: ConfigurationStore,
  part: NewPart,
): Promise<Result<number, ConfigurationStoreError>> {
  for (const [index, key] of partKeys(part.reference).entries()) {
    const chunk = part.compressed.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES);
    const written = await writeChunk(store, key, chunk);
    if (!written.ok) return written;
  }
  return success(0);
}
