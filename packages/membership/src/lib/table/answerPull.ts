import type { membershipMessages } from '@buckthornslip/wire';

import { encodeRecord } from '../member/encodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import type { MemberTable } from './MemberTable';

/**
 * Answers a pull of the roster. If the digests are equal, no records are needed. Otherwise the changes since
 * the requester's position are sent, or the full roster if there are none but the digests still differ.
 *
 * @param table - Members of the service.
 * @param self - This node's record.
 * @param request - The request.
 * @returns The response.
 * @internal
 */
export function answerPull(
  table: MemberTable,
  self: MemberRecord,
  request: membershipMessages.PullRosterRequest,
): membershipMessages.PullRosterResponse {
  const { host, incarnation } = self;
  const sequence = table.sequence();
  const answer = { member: true, host, incarnation, sequence };
  const known = request.responderIncarnation === incarnation ? request.sequence : 0;
  const changed = known > 0 ? table.changedSince(known) : [];
  const isSame = request.digest === table.digest();
  if (isSame || changed.length > 0) {
    return { ...answer, full: false, records: changed.map(encodeRecord) };
  }
  return { ...answer, full: true, records: table.records().map(encodeRecord) };
}
