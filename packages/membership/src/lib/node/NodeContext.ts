import type { Clock, RandomSource } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { MembershipPeers } from '../peers/MembershipPeers';
import type { SelfRecord } from './SelfRecord';

/**
 * What the parts of one node's membership share.
 *
 * @internal
 */
export interface NodeContext {
  readonly self: SelfRecord;
  readonly peers: MembershipPeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
  /** Time for which records of nodes that have gone are kept, in milliseconds. */
  readonly departedRetentionMilliseconds: number;
  /** Ends all tasks. */
  readonly signal: AbortSignal;
}
