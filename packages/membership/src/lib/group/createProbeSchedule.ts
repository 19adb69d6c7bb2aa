import { createHash } from 'node:crypto';

import type { HostId, RandomSource } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';
import { isProbeTarget } from './isProbeTarget';

function ringPosition(host: HostId): string {
  return createHash('sha256').update(host).digest('base64');
}

/**
 * Creates the schedule by which a node probes the members of its group. In each period it probes its
 * successor on a hash ring, so that every member is probed at least once per period, and one of the
 * other members in turn, in case a whole section of the ring has failed. The ring is ordered by a hash
 * of the host, because hosts of one rack often have similar names.
 *
 * @param self - This node's host.
 * @param random - Chooses the member at which the rotation starts.
 * @returns A function that returns the targets of the next period.
 * @internal
 */
export function createProbeSchedule(
  self: HostId,
  random: RandomSource,
): (records: readonly MemberRecord[]) => readonly MemberRecord[] {
  const positions = new Map<HostId, string>();
  let turn = random.nextInteger(2 ** 16);

  const positionOf = (host: HostId): string => {
    const known = positions.get(host);
    if (known) return known;
    const position = ringPosition(host);
    positions.set(host, position);
    return position;
  };

  const limitCache = (records: readonly MemberRecord[]): void => {
    if (positions.size <= 2 * records.length + 2) return;
    positions.clear();
  };

  return (records) => {
    limitCache(records);
    const selfPosition = positionOf(self);
    const others = records.filter((record) => record.host !== self && isProbeTarget(record));
    const isAfter = ({ host }: MemberRecord): number => (positionOf(host) > selfPosition ? 0 : 1);
    const ring = others.sort(
      (left, right) =>
        isAfter(left) - isAfter(right) || (positionOf(left.host) < positionOf(right.host) ? -1 : 1),
    );
    // A suspect is already being probed by the node that raised the suspicion.
    const successor = ring.find((record) => record.liveness === 'alive');
    const remaining = ring.filter((record) => record !== successor);
    turn += 1;
    const rotating = remaining[turn % Math.max(1, remaining.length)];
    return [successor, rotating].filter((record) => record !== undefined);
  };
}
