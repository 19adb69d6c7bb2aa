import type { ServiceId } from '@buckthornslip/common';

/**
 * A group of upstreams that serve the same routes.
 *
 * @public
 */
export interface ServiceDefinition {
  readonly id: ServiceId;
  /** Maximum time that a call may wait in an upstream's queue, in milliseconds. */
  readonly queueTargetMilliseconds: number;
  /** Timeout for the first byte of a response, in milliseconds; then the connection counts as unresponsive. */
  readonly firstByteTimeoutMilliseconds: number;
}
