import type { StoreEndpoint } from './StoreEndpoint';

/** Timeout for connecting, in milliseconds: several round trips between regions (30 ms each). */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/**
 * Waits until an endpoint is connected. Writes are sent only to a connected endpoint, so that failing over to
 * another endpoint before that cannot make a write take effect twice.
 *
 * @returns Whether the endpoint is connected.
 * @internal
 */
export function waitUntilConnected(endpoint: StoreEndpoint): Promise<boolean> {
  const deadline = new Date(Date.now() + CONNECT_TIMEOUT_MILLISECONDS);
  return new Promise((resolve) => {
    endpoint.kv.waitForReady(deadline, (error) => resolve(!error));
  });
}
