import { decodeRecord } from '../member/decodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import { pushRecords } from '../node/pushRecords';
import type { GroupContext } from './GroupContext';
import { isProbeTarget } from './isProbeTarget';

/**
 * Pushes a record to all members of the group concurrently.
 *
 * @param group - Dependencies of the group.
 * @param record - The record.
 * @internal
 */
export async function pushToGroup(group: GroupContext, record: MemberRecord): Promise<void> {
  const selfHost = group.self.current().host;
  const receivers = group.table
    .records()
    .filter(({ host }) => host !== selfHost && host !== record.host)
    .filter(isProbeTarget);
  await Promise.all(
    receivers.map(async ({ controlAddress }) => {
      const answers = await pushRecords(group, controlAddress, group.table.service, [record]);
      group.apply(answers.map(decodeRecord), 'gossip');
    }),
  );
}
