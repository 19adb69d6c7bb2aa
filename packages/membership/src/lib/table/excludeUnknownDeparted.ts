import { isDeparted } from '../member/isDeparted';
import type { MemberRecord } from '../member/MemberRecord';
import type { MemberTable } from './MemberTable';

/**
 * Excludes records of departed nodes that this node does not know. Otherwise a record that one node has
 * removed would keep coming back from the rosters of other nodes.
 *
 * @param table - Known members.
 * @param roster - Records pulled from a member.
 * @returns The records to merge.
 * @internal
 */
export function excludeUnknownDeparted(
  table: MemberTable,
  roster: readonly MemberRecord[],
): readonly MemberRecord[] {
  return roster.filter((record) => !isDeparted(record) || table.get(record.host) !== undefined);
}
