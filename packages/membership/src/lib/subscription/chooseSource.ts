import type { HostId, RandomSource } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';

/**
 * Chooses the member from which a subscription pulls: of the own zone, else of the own region, else
 * any. The choice within one of these is random, so that subscribers spread over the members.
 *
 * @param own - This node's record.
 * @param records - Members known.
 * @param failed - Hosts that did not answer lately.
 * @param random - Source of the choice.
 * @returns The member, if any can be asked.
 * @internal
 */
export function chooseSource(
  own: MemberRecord,
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
  const sameRegion = possible.filter(({ region }) => region === own.region);
  const sameZone = sameRegion.filter(({ zone }) => zone === own.zone);
  const list = [sameZone, sameRegion, possible].find((candidates) => candidates.length > 0) ?? [];
  return list[random.nextInteger(Math.max(1, list.length))];
}
