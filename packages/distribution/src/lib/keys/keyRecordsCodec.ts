import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import * as z from 'zod';

import type { KeyRecord } from '../configuration/KeyRecord';
import type { RevisionError } from '../revision/RevisionError';

const recordsSchema = z.array(
  z.object({
    id: z.string().min(1),
    account: z.string().min(1),
    digest: z.string().regex(/^[0-9a-f]{64}$/),
    state: z.enum(['granted', 'withdrawn']),
  }),
);

/**
 * @param records - Records of one part of the key log.
 * @returns Uncompressed content of the part.
 * @internal
 */
export function encodeKeyRecords(records: readonly KeyRecord[]): Buffer {
  return Buffer.from(JSON.stringify(records));
}

/**
 * @param content - Content of one part of the key log, already verified against its digest.
 * @param digest - Digest of the part, reported in the error.
 * @returns The records.
 * @internal
 */
export function decodeKeyRecords(
  content: Buffer,
  digest: string,
): Result<readonly KeyRecord[], RevisionError> {
  try {
    const records = recordsSchema.parse(JSON.parse(content.toString('utf8')));
    return success(records as unknown as readonly KeyRecord[]);
  } catch {
    return failure({ kind: 'part-corrupt', digest });
  }
}
