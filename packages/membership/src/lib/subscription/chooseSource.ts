import type { HostId, RandomSource } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';

/**
 * Chooses the member from which a subscription pulls: in this node's zone, else in its region,
 * else anywhere. The choice among these is random, to distribute subscribers over the members.
 *
 * @param self - This node's record.
 * @param records - Known members.
 * @param failed - Hosts that recently did not answer.
 * @param random - Source of randomness.
 * @returns The member, if any is usable.
 * @internal
 */
export function chooseSource(
  self: MemberRecord,
  records: readonly MemberRecord[],
  failed: ReadonlySet<HostId>,
  random: RandomSource,
): MemberRecord | undefined {
  const possible = records.filter(
    (record) =>
      record.liveness !== 'dead' &&
      (record.state === 'ready' || record.state === 'starting') &&
      !failed.has(record.host),
  );
  const sameRegion = possible.filter(({ region }) => region === self.region);
  const sameZone = sameRegion.filter(({ zone }) => zone === self.zone);
  const list = [sameZone, sameRegion, possible].find((candidates) => candidates.length > 0) ?? [];
  return list[random.nextInteger(Math.max(1, list.length))];
}
