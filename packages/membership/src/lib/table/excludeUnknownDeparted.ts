import { isDeparted } from '../member/isDeparted';
import type { MemberRecord } from '../member/MemberRecord';
import type { MemberTable } from './MemberTable';

/**
 * Leaves out records of nodes that have gone and that this node never knew. Otherwise a record that
 * one node has forgotten would come back from the roster of another one, again and again.
 *
 * @param table - Members known so far.
 * @param roster - Records pulled from a member.
 * @returns The records to take in.
 * @internal
 */
export function excludeUnknownDeparted(
  table: MemberTable,
  roster: readonly MemberRecord[],
): readonly MemberRecord[] {
  return roster.filter((record) => !isDeparted(record) || table.get(record.host) !== undefined);
}
