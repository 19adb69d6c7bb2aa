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
  /** Account whose key the request carried; undefined on open routes. */
  readonly account: AccountId | undefined;
  /** Account on whose behalf the call runs: its own, or that of its parent call. */
  readonly chargedAccount: AccountId | undefined;
  /** Service of the host that received the request. */
  readonly callerService: ServiceId;
  /** Priority rank; 0 is the most urgent. A nested call has the rank of its parent. */
  readonly rank: number;
  /** Whether an upstream made the call while running another call. */
  readonly isNested: boolean;
  readonly repeatable: boolean;
  /**
   * Whether an upstream may already have received this call, or a call above it, in an earlier attempt. The nested calls of
   * such a run are repeats as well.
   */
  readonly isRepeat: boolean;
  /**
   * Service time that the entry node expects on an average upstream of the service, in milliseconds; undefined if it expects none.
   */
  readonly costMilliseconds?: number | undefined;
  /** Bytes of the answer's body that the entry node accepts before its caller has read any. */
  readonly answerWindowBytes: number;
  readonly method: string;
  readonly target: string;
  /** End-to-end headers of the request, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly scope: CallScope;
}
