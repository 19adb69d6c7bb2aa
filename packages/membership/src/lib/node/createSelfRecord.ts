import type { EventLogger } from '@buckthornslip/telemetry';

import { compareRecords } from '../member/compareRecords';
import type { MemberRecord } from '../member/MemberRecord';
import type { SelfRecord } from './SelfRecord';

/**
 * Creates this node's own record.
 *
 * @param initial - The initial record.
 * @param logger - Logger.
 * @returns The record.
 * @internal
 */
export function createSelfRecord(initial: MemberRecord, logger: EventLogger): SelfRecord {
  let current = initial;
  let isSuperseded = false;

  const reportSuperseded = (received: MemberRecord): void => {
    if (isSuperseded) return;
    isSuperseded = true;
    const { host, incarnation } = received;
    logger.log('incarnationSuperseded', { host, own: current.incarnation, other: incarnation });
  };

  return {
    current: () => current,
    change: (fields) => {
      current = { ...current, ...fields, version: current.version + 1 };
      return current;
    },
    refute: (received) => {
      if (received.incarnation > current.incarnation) reportSuperseded(received);
      if (received.incarnation !== current.incarnation) return false;
      if (compareRecords(received, current) <= 0) return false;
      current = { ...current, version: received.version + 1 };
      return true;
    },
  };
}
