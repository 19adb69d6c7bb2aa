import type { CallPolicy, PolicyAccount } from '@buckthornslip/config';

import type { RouteEntry } from '../policy/createRouteTable';
import type { RequestHead } from '../protocol/RequestHead';
import type { RunningParent } from '../serving/createRunningCalls';

/**
 * A request that passed routing and authentication.
 *
 * @internal
 */
export interface AcceptedRequest {
  readonly policy: CallPolicy;
  readonly entry: RouteEntry;
  readonly head: RequestHead;
  /** Account of the key; undefined on open routes. */
  readonly account: PolicyAccount | undefined;
  /** Whether the request appears to come from the local upstream. */
  readonly isNested: boolean;
  /** Call on whose behalf a nested request was made, if known. */
  readonly parent: RunningParent | undefined;
  /** Priority rank; 0 is the most urgent. */
  readonly rank: number;
}
