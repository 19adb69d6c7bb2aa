import { decodeRecord } from '../member/decodeRecord';
import { encodeRecord } from '../member/encodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import { membershipTimes } from '../node/membershipTimes';
import type { GroupContext } from './GroupContext';

/**
 * Probes a member. If the member is recorded as suspect or dead, that record is sent along so that the member
 * can refute it.
 *
 * @param group - Dependencies of the group.
 * @param target - The member.
 * @returns Whether the expected host answered.
 * @internal
 */
export async function probeDirectly(group: GroupContext, target: MemberRecord): Promise<boolean> {
  const { peers, queue, table } = group;
  const suspicions = target.liveness === 'alive' ? [] : [target];
  const request = {
    service: table.service,
    targetHost: target.host,
    targetIncarnation: target.incarnation,
    targetVersion: target.version,
    updates: [...suspicions, ...queue.take()].map(encodeRecord),
  };
  const { probeTimeout } = membershipTimes;
  const result = await peers.call(target.controlAddress, 'probe', request, probeTimeout);
  if (!result.ok) return false;
  group.apply(result.value.updates.map(decodeRecord), 'gossip');
  // The address of a departed host may have been reassigned to another one.
  return result.value.host === target.host && result.value.incarnation >= target.incarnation;
}
