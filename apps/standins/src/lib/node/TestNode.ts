import type { HttpListener } from '@buckthornslip/calls';
import type { NodeIdentity } from '@buckthornslip/common';
import type { Metrics } from '@buckthornslip/telemetry';

/**
 * A node with real HTTP listeners and in-memory fakes of its other components.
 *
 * @public
 */
export interface TestNode {
  readonly identity: NodeIdentity;
  readonly metrics: Metrics;
  readonly entry: HttpListener;
  readonly serving: HttpListener;
  readonly outgoing: HttpListener;
  /** "address:port" of the listener for callers. */
  readonly callerAddress: () => string;
  /** "address:port" of the listener for peers. */
  readonly peerAddress: () => string;
  /** "address:port" of the listener for the node's own upstream. */
  readonly outgoingAddress: () => string;
  readonly close: () => Promise<void>;
}
