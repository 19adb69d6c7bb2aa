import type { CostKey } from '@buckthornslip/admission';
import { createCostEstimates } from '@buckthornslip/admission';

import type { CallAttempt } from './CallAttempt';

type CostedCall = Pick<CallAttempt, 'service' | 'route' | 'chargedAccount' | 'method' | 'body'>;

/**
 * Expected service times of calls, as this node has learned them.
 *
 * @public
 */
export interface CallCosts {
  /**
   * @returns Expected service time at an average upstream, in milliseconds; at the local one as long as no response of
   *   another upstream of the service has been seen; 0 if nothing is known.
   */
  readonly expected: (call: CostedCall) => number;
  /** Records the service time that came with a response of any upstream, for a call that this node sent. */
  readonly observeAnswer: (call: CostedCall, milliseconds: number) => void;
  /** Records the service time of a call at the local upstream. */
  readonly observeLocal: (call: CostedCall, milliseconds: number) => void;
}

function keyOf({ body, chargedAccount, method, route, service }: CostedCall): CostKey {
  const bodyBytes = body.kind === 'whole' ? body.bytes.length : body.length;
  return { service, route, account: chargedAccount, method, bodyBytes };
}

/**
 * Creates the cost estimates of a node. Times of the local upstream are kept apart, because they depend on its speed.
 *
 * @returns Estimates without samples.
 * @public
 */
export function createCallCosts(): CallCosts {
  const fleet = createCostEstimates();
  const local = createCostEstimates();
  return {
    expected: (call) => {
      const key = keyOf(call);
      return fleet.expected(key) || local.expected(key);
    },
    observeAnswer: (call, milliseconds) => fleet.observe(keyOf(call), milliseconds),
    observeLocal: (call, milliseconds) => local.observe(keyOf(call), milliseconds),
  };
}
