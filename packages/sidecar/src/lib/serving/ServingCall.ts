import type { CallScope } from '@buckthornslip/calls';
import type { AccountId, ServiceId } from '@buckthornslip/common';

import type { RequestBody } from '../http/RequestBody';

/**
 * One attempt of a call at a serving node.
 *
 * @public
 */
export interface ServingCall {
  readonly requestId: string;
  /** Name of the route; calls of one route do similar work. */
  readonly route: string;
  readonly service: ServiceId;
  readonly account: AccountId | undefined;
  /** Service of the host where the request entered. */
  readonly callerService: ServiceId;
  /** Importance; a smaller rank goes first. */
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
