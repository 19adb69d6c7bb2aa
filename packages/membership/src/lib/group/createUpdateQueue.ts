import type { HostId } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';
import { membershipCounts } from '../node/membershipCounts';
import type { RecordSource } from './RecordSource';
import type { UpdateQueue } from './UpdateQueue';

/**
 * Number of messages that carry an update, per doubling of the group size. A pushed record has already been
 * sent to all members, so gossip only makes up for lost messages.
 */
const disseminationFactors: Readonly<Record<RecordSource, number>> = {
  gossip: 3,
  push: 1,
  roster: 3,
};

interface Entry {
  readonly record: MemberRecord;
  readonly remaining: number;
}

/**
 * Creates a queue of updates. The number of messages that carry an update grows with the logarithm of the
 * group size, so that the update reaches all members with high probability.
 *
 * @param groupSize - Returns the current number of members.
 * @returns An empty queue.
 * @internal
 */
export function createUpdateQueue(groupSize: () => number): UpdateQueue {
  const entries = new Map<HostId, Entry>();
  const { piggybackedRecords } = membershipCounts;
  return {
    add: (record, source) => {
      const remaining = disseminationFactors[source] * Math.ceil(Math.log2(groupSize() + 2));
      entries.set(record.host, { record, remaining });
    },
    take: () => {
      const next = [...entries.values()]
        .sort((left, right) => right.remaining - left.remaining)
        .slice(0, piggybackedRecords);
      next.forEach(({ record, remaining }) => {
        if (remaining <= 1) entries.delete(record.host);
        else entries.set(record.host, { record, remaining: remaining - 1 });
      });
      return next.map(({ record }) => record);
    },
  };
}
