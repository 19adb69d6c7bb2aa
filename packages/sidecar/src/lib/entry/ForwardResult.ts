import type { Refusal } from '@buckthornslip/calls';
import type { HostId } from '@buckthornslip/common';

import type { UpstreamAnswer } from '../serving/ServedAnswer';

/**
 * Final result of a forwarded call.
 *
 * @internal
 */
export interface ForwardResult {
  readonly answer: UpstreamAnswer | Refusal;
  /** Nodes to which the call was sent. */
  readonly attempts: number;
  /** Node that gave the answer. */
  readonly host: HostId | undefined;
}
