import type { RefusalReason } from '@buckthornslip/common';
import type { RouteDefinition } from '@buckthornslip/config';

import type { CallContext } from '../context/CallContext';
import type { CallScope } from '../http/CallScope';
import type { RequestBody } from '../http/RequestBody';

/**
 * A call whose route and context are known, ready to be sent to a serving node.
 *
 * @public
 */
export interface RoutedCall {
  readonly context: CallContext;
  readonly route: RouteDefinition;
  readonly method: string;
  readonly target: string;
  /** End-to-end headers as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly scope: CallScope;
  /** Identifies equal calls: the account with the idempotency key, or with the digest of method, target and body. */
  readonly fingerprint: string;
  /** Digest of method, target and body. */
  readonly requestDigest: string;
  /** Account and idempotency key; set for non-repeatable calls that have a key. */
  readonly scopedKey: string | undefined;
  /** Called before each attempt; a returned reason stops the call. */
  readonly stopReason: () => RefusalReason | undefined;
  /** Called when an attempt is about to be sent. */
  readonly onAttempt: () => void;
}
