import type { Clock, RandomSource } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { MembershipPeers } from '../peers/MembershipPeers';
import type { SelfRecord } from './SelfRecord';

/**
 * Dependencies that the components of one node's membership share.
 *
 * @internal
 */
export interface NodeContext {
  readonly self: SelfRecord;
  readonly peers: MembershipPeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
  /** Time for which records of departed nodes are kept, in milliseconds. */
  readonly departedRetentionMilliseconds: number;
  /** Stops all tasks when aborted. */
  readonly signal: AbortSignal;
}
