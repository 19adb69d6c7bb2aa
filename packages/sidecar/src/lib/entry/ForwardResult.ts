import type { Refusal } from '@buckthornslip/calls';
import type { HostId } from '@buckthornslip/common';

import type { UpstreamResponse } from '../serving/AttemptResult';

/**
 * Final result of a forwarded call.
 *
 * @internal
 */
export interface ForwardResult {
  readonly answer: UpstreamResponse | Refusal;
  /** Nodes to which the call was sent. */
  readonly attempts: number;
  /** Node that gave the answer. */
  readonly host: HostId | undefined;
}
