import type { ServiceId } from '@buckthornslip/common';
import type { ConfigurationView } from '@buckthornslip/distribution';

/** Defaults for a service that is not in the manifest, in milliseconds. */
const FIRST_BYTE_MILLISECONDS = 5_000;
const QUEUE_MILLISECONDS = 100;

/** Extra time for the serving node to report a timeout of its upstream itself, in milliseconds. */
const MARGIN_MILLISECONDS = 250;

/**
 * Computes the idle timeout of a connection to a serving node. It covers the queue there and the upstream's own time to
 * first byte, so that an unresponsive upstream is not mistaken for an unresponsive peer.
 *
 * @param configuration - Configuration with the limits of the service.
 * @param service - The service.
 * @returns The timeout, in milliseconds.
 * @internal
 */
export function peerIdleTimeout(configuration: ConfigurationView, service: ServiceId): number {
  const definition = configuration.current()?.manifest.services.get(service);
  const firstByte = definition?.firstByteTimeoutMilliseconds ?? FIRST_BYTE_MILLISECONDS;
  const queue = definition?.queueTargetMilliseconds ?? QUEUE_MILLISECONDS;
  return firstByte + queue + MARGIN_MILLISECONDS;
}
