import type { Clock } from '@buckthornslip/common';

import type { DirectoryMessage } from '../directory/DirectoryMessage';
import { compareStatements } from './compareStatements';
import type { EvacuationOrders } from './EvacuationOrders';
import type { EvacuationStatement } from './EvacuationStatement';

/** What a message says about its sender's knowledge. */
type ReceivedMessage = Pick<DirectoryMessage, 'evacuations' | 'policyRevision'>;

/** Decides which messages to other nodes carry the orders. */
export interface StatementSender {
  /**
   * @param received - The message that is answered, if any.
   * @returns The statement to send, if any.
   */
  readonly toSend: (received?: ReceivedMessage) => EvacuationStatement | undefined;
  readonly close: () => void;
}

/**
 * Time after the end of the last order for which messages state that there is none, in milliseconds: several exchanges of each
 * node. A node that misses them states its own orders, and is answered.
 */
const ENDED_MILLISECONDS = 15_000;

/**
 * Creates the decision. Without orders, messages stay as small as they are on deployments that use none.
 *
 * @param clock - Source of time.
 * @param orders - What this node knows.
 * @returns The decision.
 * @internal
 */
export function createStatementSender(
  clock: Pick<Clock, 'monotonicMilliseconds'>,
  orders: Pick<EvacuationOrders, 'statement' | 'changes'>,
): StatementSender {
  let hadZones = false;
  let endedMilliseconds = -Infinity;
  const subscription = orders.changes.subscribe(({ size }) => {
    if (hadZones && size === 0) endedMilliseconds = clock.monotonicMilliseconds();
    hadZones = size > 0;
  });
  return {
    toSend: (received) => {
      const own = orders.statement();
      if (!own) return undefined;
      const isRecent = clock.monotonicMilliseconds() - endedMilliseconds < ENDED_MILLISECONDS;
      const stated = received?.evacuations;
      const isOutdated = stated !== undefined && compareStatements(stated, own) < 0;
      // A node without a policy has read nothing from the store yet.
      const isUninformed = received?.policyRevision === 0;
      const mayNotKnow = isRecent || isOutdated || isUninformed;
      return own.zones.size > 0 || hadZones || mayNotKnow ? own : undefined;
    },
    close: () => subscription.unsubscribe(),
  };
}
