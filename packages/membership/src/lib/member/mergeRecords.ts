import { compareRecords } from './compareRecords';
import type { MemberRecord } from './MemberRecord';

/**
 * Merges two records of one host. Merging is commutative, associative and idempotent.
 *
 * @param known - The known record, if any.
 * @param received - The other record.
 * @returns The newer record; the known one if both are the same.
 * @internal
 */
export function mergeRecords(
  known: MemberRecord | undefined,
  received: MemberRecord,
): MemberRecord {
  if (!known) return received;
  return compareRecords(received, known) > 0 ? received : known;
}
