import type { Clock, NodeIdentity } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { Ticker } from './createTicker';

/** What a link to another node works with. */
export interface PeerLinkOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Shared by all connections. */
  readonly ticker: Ticker;
  /** This node. */
  readonly self: NodeIdentity;
  /** "address:port" of the other node. */
  readonly address: string;
}
