import type { AttemptId } from '@buckthornslip/common';

import type { CallContext } from '../context/CallContext';
import type { CallScope } from '../http/CallScope';
import type { RequestBody } from '../http/RequestBody';

/**
 * A call to run at this node's local upstream.
 *
 * @public
 */
export interface ServingCall {
  readonly context: CallContext;
  readonly method: string;
  readonly target: string;
  /** End-to-end headers as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly scope: CallScope;
  /** Fingerprint of the request, for the suspect table. */
  readonly fingerprint: string;
  /** Set for calls that must run at most once. */
  readonly attemptId: AttemptId | undefined;
  /** Whether to return only the result of an attempt that is already known here; the call has no body. */
  readonly joinOnly: boolean;
}
