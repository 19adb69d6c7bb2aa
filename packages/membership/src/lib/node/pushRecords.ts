import type { ServiceId } from '@buckthornslip/common';
import type { membershipMessages } from '@buckthornslip/wire';

import { encodeRecord } from '../member/encodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import { membershipCounts } from './membershipCounts';
import { membershipTimes } from './membershipTimes';
import type { NodeContext } from './NodeContext';

/**
 * Pushes records to one node, with retries if it does not answer.
 *
 * @param context - Dependencies of the node.
 * @param address - Control address of the receiver.
 * @param service - Service of the records.
 * @param records - The records.
 * @returns Records in the receiver's answer; empty if it did not answer.
 * @internal
 */
export async function pushRecords(
  context: NodeContext,
  address: string,
  service: ServiceId,
  records: readonly MemberRecord[],
): Promise<readonly membershipMessages.MemberRecord[]> {
  const request = { service, updates: records.map(encodeRecord) };
  for (let attempt = 0; attempt < membershipCounts.pushAttempts; attempt += 1) {
    const { peers, signal } = context;
    if (signal.aborted) return [];
    const result = await peers.call(address, 'pushMembers', request, membershipTimes.pushTimeout);
    if (result.ok) return result.value.updates;
  }
  return [];
}
