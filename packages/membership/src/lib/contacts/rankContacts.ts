import type { MemberRecord } from '../member/MemberRecord';

/**
 * Ranks the contacts of a zone for keeping the role, the longest-running first. All nodes compute the same
 * order, so surplus contacts step down without coordination.
 *
 * @param records - Contacts of one zone.
 * @returns The contacts in order.
 * @internal
 */
export function rankContacts(records: readonly MemberRecord[]): readonly MemberRecord[] {
  return [...records].sort(
    (left, right) => left.incarnation - right.incarnation || (left.host < right.host ? -1 : 1),
  );
}
