import type { Clock, NodeIdentity } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { Ticker } from './createTicker';

/** Dependencies and settings of a link to another node. */
export interface PeerLinkOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Ticker that all links share. */
  readonly ticker: Ticker;
  /** Called for each message of the other node. */
  readonly onReceived: () => void;
  /** Identity of this node. */
  readonly self: NodeIdentity;
  /** "address:port" of the other node. */
  readonly address: string;
}
