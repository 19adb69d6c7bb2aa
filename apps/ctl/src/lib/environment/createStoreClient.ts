import { createSystemClock } from '@buckthornslip/common';
import { toConfigurationStore } from '@buckthornslip/distribution';
import { createStoreClient as createPlatformStoreClient } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';

import type { StoreClient } from './CtlEnvironment';

/**
 * Connects to the platform's store.
 *
 * @param endpoints - Endpoints of the store, as "address:port".
 * @returns The connection.
 * @internal
 */
export function createStoreClient(endpoints: readonly string[]): StoreClient {
  const clock = createSystemClock();
  const client = createPlatformStoreClient({ endpoints, clock, logger: createSilentLogger() });
  return { store: toConfigurationStore(client), close: client.close };
}
