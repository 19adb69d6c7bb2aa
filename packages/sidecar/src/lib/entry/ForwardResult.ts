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
  /** Attempts made, each at another node. */
  readonly attempts: number;
  /** Node that produced the result. */
  readonly host: HostId | undefined;
  /** Whether an attempt failed because an upstream refused it, or a call below it, that its node had admitted. */
  readonly isShed?: boolean;
  /** Whether an attempt failed because a call below it was refused for lack of capacity. */
  readonly isNestedRefused?: boolean;
  /** Retry-After of a refusal, in milliseconds, if it needs no further jitter. */
  readonly spreadMilliseconds?: number;
}
