import type { MemberRecord } from '../member/MemberRecord';
import { membershipTimes } from '../node/membershipTimes';
import type { NodeContext } from '../node/NodeContext';
import { pushRecords } from '../node/pushRecords';
import type { MemberTable } from '../table/MemberTable';

/**
 * Creates the list of subscribers: nodes that pull the roster from this one, and to which it pushes changes.
 *
 * @param context - Dependencies of the node.
 * @param table - Members of the service.
 * @returns Functions that record a pull of a subscriber, and forward a changed record to all subscribers.
 * @internal
 */
export function createSubscriberList(
  context: NodeContext,
  table: MemberTable,
): {
  readonly recordPull: (address: string) => void;
  readonly forward: (record: MemberRecord) => void;
} {
  const { clock } = context;
  const lastPull = new Map<string, number>();
  let pending: MemberRecord[] = [];

  const removeExpired = (): void => {
    const oldest = clock.monotonicMilliseconds() - membershipTimes.subscriberTimeToLive;
    lastPull.forEach((pulledAt, address) => {
      if (pulledAt < oldest) lastPull.delete(address);
    });
  };

  const send = (): void => {
    const records = pending;
    pending = [];
    removeExpired();
    [...lastPull.keys()].forEach((address) => {
      void pushRecords(context, address, table.service, records);
    });
  };

  return {
    recordPull: (address) => {
      removeExpired();
      lastPull.set(address, clock.monotonicMilliseconds());
    },
    forward: (record) => {
      if (lastPull.size === 0) return;
      pending.push(record);
      if (pending.length === 1) clock.setTimer(membershipTimes.forwardDelay, send);
    },
  };
}
