import type { UpstreamRegistry } from '../serving/UpstreamRegistry';
import type { SidecarMetrics } from './createSidecarMetrics';

/**
 * A running sidecar.
 *
 * @public
 */
export interface Sidecar {
  readonly start: () => Promise<void>;
  /** Stops gracefully: no request in progress is cut off. */
  readonly stop: () => Promise<void>;
  /** @returns Undefined if callers may be sent here, otherwise why not. */
  readonly notReadyReason: () => string | undefined;
  readonly upstream: UpstreamRegistry;
  readonly metrics: SidecarMetrics;
}
