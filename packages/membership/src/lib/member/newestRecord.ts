import type { MemberRecord } from './MemberRecord';
import { mergeRecords } from './mergeRecords';

/**
 * @param records - Records of one host from several sources; undefined where a source has none.
 * @returns The newest one, if any.
 * @internal
 */
export function newestRecord(
  records: readonly (MemberRecord | undefined)[],
): MemberRecord | undefined {
  const merge = (newest: MemberRecord | undefined, record: MemberRecord | undefined) =>
    record ? mergeRecords(newest, record) : newest;
  return records.reduce(merge, undefined);
}
