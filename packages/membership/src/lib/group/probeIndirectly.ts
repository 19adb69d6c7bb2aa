import { decodeRecord } from '../member/decodeRecord';
import { encodeRecord } from '../member/encodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import { membershipCounts } from '../node/membershipCounts';
import { membershipTimes } from '../node/membershipTimes';
import { sampleItems } from '../node/sampleItems';
import type { GroupContext } from './GroupContext';
import { isProbeTarget } from './isProbeTarget';

async function probeThrough(
  group: GroupContext,
  intermediary: MemberRecord,
  target: MemberRecord,
): Promise<boolean> {
  const request = { service: group.table.service, target: encodeRecord(target) };
  const { indirectProbeTimeout } = membershipTimes;
  const { controlAddress } = intermediary;
  const result = await group.peers.call(
    controlAddress,
    'indirectProbe',
    request,
    indirectProbeTimeout,
  );
  if (!result.ok) return false;
  group.apply(result.value.updates.map(decodeRecord), 'gossip');
  return result.value.answered;
}

/**
 * Probes a member through other members, in case only the direct connection fails.
 *
 * @param group - Dependencies of the group.
 * @param target - The member.
 * @returns Whether the member answered at least one of them.
 * @internal
 */
export async function probeIndirectly(group: GroupContext, target: MemberRecord): Promise<boolean> {
  const selfHost = group.self.current().host;
  const possible = group.table
    .records()
    .filter(({ host }) => host !== selfHost && host !== target.host)
    .filter((record) => isProbeTarget(record) && record.liveness === 'alive');
  const intermediaries = sampleItems(possible, membershipCounts.indirectProbes, group.random);
  const answers = await Promise.all(
    intermediaries.map((helper) => probeThrough(group, helper, target)),
  );
  return answers.includes(true);
}
