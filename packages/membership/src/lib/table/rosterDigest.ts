import { createHash } from 'node:crypto';

import { isDeparted } from '../member/isDeparted';
import type { MemberRecord } from '../member/MemberRecord';

/** Length of a digest in characters; 11 base64 characters are 66 bits. */
const DIGEST_CHARACTERS = 11;

/**
 * Computes the digest of a set of records, independent of their order. Records of departed nodes are
 * excluded, because nodes remove them at different times.
 *
 * @param records - The records.
 * @returns The digest.
 * @internal
 */
export function rosterDigest(records: readonly MemberRecord[]): string {
  const lines = records
    .filter((record) => !isDeparted(record))
    .map(({ host, incarnation, version }) => `${host} ${incarnation} ${version}`)
    .sort();
  const hash = createHash('sha256').update(lines.join('\n'));
  return hash.digest('base64').slice(0, DIGEST_CHARACTERS);
}
