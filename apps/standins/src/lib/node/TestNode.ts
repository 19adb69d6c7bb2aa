import type { HttpListener } from '@buckthornslip/calls';
import type { NodeIdentity } from '@buckthornslip/common';
import type { Metrics } from '@buckthornslip/telemetry';

/**
 * A node whose listeners are real and whose other parts are simple stand-ins.
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
  /** "address:port" of the listener for the own upstream. */
  readonly outgoingAddress: () => string;
  readonly close: () => Promise<void>;
}
