import type { Clock } from '@buckthornslip/common';

import type { LinkConnection } from './createLinkConnector';
import { isSameSession } from './isSameSession';

/** A call that was given up, of which the serving node may not know yet. */
interface Cancellation {
  readonly id: number;
  /** Connection on which the call was sent. */
  readonly sentOn: LinkConnection;
  readonly untilMilliseconds: number;
}

/**
 * Cancelled calls that the other node has not confirmed. A message that is sent on a connection which is then lost may
 * never arrive.
 *
 * @internal
 */
export interface Cancellations {
  readonly add: (id: number, sentOn: LinkConnection) => void;
  /** Forgets a call of which an answer has arrived. */
  readonly confirm: (id: number) => void;
  /** @returns Calls to cancel on a new connection: those of its session. All others are forgotten. */
  readonly due: (connection: LinkConnection) => readonly number[];
  /** @returns Number of calls that are still to be confirmed. */
  readonly size: () => number;
}

/**
 * Time after which a cancellation is forgotten, in milliseconds. The other node itself cancels the calls of a lost connection
 * sooner.
 */
const RETENTION_MILLISECONDS = 5_000;

/** Most cancellations that are remembered, the latest ones. */
const MAXIMUM_CANCELLATIONS = 4_096;

/**
 * @param clock - Source of time.
 * @returns An empty collection.
 * @internal
 */
export function createCancellations(clock: Clock): Cancellations {
  /** In the order in which they were added, which is also that of their ends. */
  const pending = new Map<number, Cancellation>();

  const forgetExpired = (): void => {
    const now = clock.monotonicMilliseconds();
    for (const { id, untilMilliseconds } of pending.values()) {
      if (untilMilliseconds > now && pending.size <= MAXIMUM_CANCELLATIONS) return;
      pending.delete(id);
    }
  };

  return {
    add: (id, sentOn) => {
      const untilMilliseconds = clock.monotonicMilliseconds() + RETENTION_MILLISECONDS;
      pending.set(id, { id, sentOn, untilMilliseconds });
      forgetExpired();
    },
    confirm: (id) => pending.delete(id),
    due: (connection) => {
      forgetExpired();
      pending.forEach(({ id, sentOn }) => {
        if (!isSameSession(connection, sentOn)) pending.delete(id);
      });
      return [...pending.keys()];
    },
    size: () => {
      forgetExpired();
      return pending.size;
    },
  };
}
