import { randomUUID } from 'node:crypto';

import type { AccountId, CallId, Clock, RootCallId } from '@buckthornslip/common';
import type { RouteDefinition } from '@buckthornslip/config';
import type { Membership } from '@buckthornslip/membership';

import type { CallContext } from '../context/CallContext';

/**
 * Creates the context of a call that enters the system at this node.
 *
 * @param dependencies - Clock, and membership with this node's own record.
 * @param route - Route of the call.
 * @param account - Account of the call.
 * @param timeoutMilliseconds - Timeout of the call, in milliseconds.
 * @returns The context.
 * @internal
 */
export function createRootContext(
  dependencies: { readonly clock: Clock; readonly membership: Membership },
  route: RouteDefinition,
  account: AccountId | undefined,
  timeoutMilliseconds: number,
): CallContext {
  const { controlAddress, host, incarnation } = dependencies.membership.self();
  const id: string = randomUUID();
  return {
    rootCallId: id as RootCallId,
    rootNode: { host, incarnation },
    rootControlAddress: controlAddress,
    callId: id as CallId,
    account,
    priority: route.priority,
    depth: 0,
    deadlineWallMilliseconds: dependencies.clock.wallMilliseconds() + timeoutMilliseconds,
  };
}
