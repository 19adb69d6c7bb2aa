import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import { inflateSync } from 'node:zlib';

import { partDigest } from './partDigest';
import type { RevisionError } from './RevisionError';

/** Bounds the memory that a corrupt part can claim, in bytes. */
const MAX_PART_BYTES = 32 * 2 ** 20;

/**
 * @param compressed - A compressed part.
 * @param digest - Digest that the head gives for the part.
 * @returns The content, if its digest is right.
 * @internal
 */
export function decompressPart(
  compressed: Uint8Array,
  digest: string,
): Result<Buffer, RevisionError> {
  try {
    // A revision is checked and applied in one step, so that no half-applied state is ever visible.
    // eslint-disable-next-line n/no-sync
    const content = inflateSync(compressed, { maxOutputLength: MAX_PART_BYTES });
    if (partDigest(content) === digest) return success(content);
  } catch {
    // Reported below: what cannot be decompressed is corrupt.
  }
  return failure({ kind: 'part-corrupt', digest });
}
