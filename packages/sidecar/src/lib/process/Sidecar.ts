import type { UpstreamRegistry } from '../serving/UpstreamRegistry';
import type { SidecarMetrics } from './createSidecarMetrics';

/**
 * A running sidecar.
 *
 * @public
 */
export interface Sidecar {
  readonly start: () => Promise<void>;
  /** Stops gracefully: requests in progress are completed, up to the stop limit. */
  readonly stop: () => Promise<void>;
  /** @returns Undefined if the node is ready for callers, otherwise the reason why it is not. */
  readonly notReadyReason: () => string | undefined;
  readonly upstream: UpstreamRegistry;
  /**
   * @returns A promise that resolves when the departure of the upstream outlives the end of all processes, or after a limited
   *   time, before its acknowledgement is due.
   */
  readonly whenDepartureSaved: () => Promise<void>;
  readonly metrics: SidecarMetrics;
}
