import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import { inflateSync } from 'node:zlib';

import { partDigest } from './partDigest';
import type { RevisionError } from './RevisionError';

/** Maximum decompressed size, in bytes. Bounds the memory that a corrupt part can allocate. */
const MAXIMUM_PART_BYTES = 32 * 2 ** 20;

/**
 * @param compressed - A compressed part.
 * @param digest - Expected digest of the content, from the head.
 * @returns The content, or an error if it does not match the digest.
 * @internal
 */
export function decompressPart(
  compressed: Uint8Array,
  digest: string,
): Result<Buffer, RevisionError> {
  try {
    // Synchronous, so that a revision is validated and applied in one step and no partly applied state is visible.
    // eslint-disable-next-line n/no-sync
    const content = inflateSync(compressed, { maxOutputLength: MAXIMUM_PART_BYTES });
    if (partDigest(content) === digest) return success(content);
  } catch {
    // Data that cannot be decompressed is reported as corrupt below.
  }
  return failure({ kind: 'part-corrupt', digest });
}
