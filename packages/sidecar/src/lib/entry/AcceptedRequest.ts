import type { CallPolicy, PolicyAccount } from '@buckthornslip/config';

import type { RouteEntry } from '../policy/createRouteTable';
import type { RequestHead } from '../protocol/RequestHead';
import type { RunningParent } from '../serving/createRunningCalls';

/**
 * A request that may go on.
 *
 * @internal
 */
export interface AcceptedRequest {
  readonly policy: CallPolicy;
  readonly entry: RouteEntry;
  readonly head: RequestHead;
  /** Undefined on open routes. */
  readonly account: PolicyAccount | undefined;
  /** Whether the request seems to come from the upstream beside this node. */
  readonly isNested: boolean;
  /** Call that a nested request serves, if it can be told. */
  readonly parent: RunningParent | undefined;
  /** Level of urgency, 0 for the most urgent. */
  readonly rank: number;
}
