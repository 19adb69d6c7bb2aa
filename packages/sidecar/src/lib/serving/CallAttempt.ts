import type { CallScope } from '@buckthornslip/calls';
import type { AccountId, ServiceId } from '@buckthornslip/common';

import type { RequestBody } from '../http/RequestBody';

/**
 * One attempt of a call at a serving node.
 *
 * @public
 */
export interface CallAttempt {
  readonly requestId: string;
  /** Name of the route; calls of one route do similar work. */
  readonly route: string;
  readonly service: ServiceId;
  /** Account whose key came with the call; undefined on open routes. */
  readonly account: AccountId | undefined;
  /** Account for whose sake the call runs: its own, or that of the call that it serves. */
  readonly chargedAccount: AccountId | undefined;
  /** Service of the host where the request entered. */
  readonly callerService: ServiceId;
  /** Level of urgency, 0 for the most urgent; a nested call has that of the call that it serves. */
  readonly rank: number;
  /** Whether the call serves another call that runs already. */
  readonly isNested: boolean;
  readonly repeatable: boolean;
  readonly method: string;
  readonly target: string;
  /** End-to-end headers of the request, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly scope: CallScope;
}
