import type { ServiceId } from '@buckthornslip/common';
import type { ConfigurationView } from '@buckthornslip/distribution';

/** Values for a service that the manifest does not name, in milliseconds. */
const FIRST_BYTE_MILLISECONDS = 5_000;
const QUEUE_MILLISECONDS = 100;

/** Time in which the serving node can report silence of its upstream itself, in milliseconds. */
const MARGIN_MILLISECONDS = 250;

/**
 * Longest time without progress on a connection to a serving node. It covers the queue there and the upstream's own
 * time to first byte, so that a silent upstream is not taken for a silent connection to the peer.
 *
 * @param configuration - Names the limits of the service.
 * @param service - The service.
 * @returns The time, in milliseconds.
 * @internal
 */
export function peerIdleTimeout(configuration: ConfigurationView, service: ServiceId): number {
  const definition = configuration.current()?.manifest.services.get(service);
  const firstByte = definition?.firstByteTimeoutMilliseconds ?? FIRST_BYTE_MILLISECONDS;
  const queue = definition?.queueTargetMilliseconds ?? QUEUE_MILLISECONDS;
  return firstByte + queue + MARGIN_MILLISECONDS;
}
