import { setTimeout as sleep } from 'node:timers/promises';

import { waitFor } from '../demo/waitFor';
import type { MeasuredNode } from './startMeasuredNode';
import { startMeasuredNode } from './startMeasuredNode';
import type { MeasurementEnvironment } from './MeasurementEnvironment';

const CONTACT_LIMIT_MILLISECONDS = 20_000;
const CONTACT_PREFIX = 'contacts/';

/**
 * Starts nodes and waits until they are the contacts of their zone.
 *
 * @param environment - Environment of the measurement.
 * @param names - Names of the hosts.
 * @returns Running nodes.
 * @internal
 */
export async function startContacts(
  environment: MeasurementEnvironment,
  names: readonly string[],
): Promise<readonly MeasuredNode[]> {
  const nodes = await Promise.all(names.map((name) => startMeasuredNode(environment, name)));
  await waitFor(
    'the contacts are registered in the store',
    CONTACT_LIMIT_MILLISECONDS,
    async () => {
      const listing = await environment.storeClient.list(CONTACT_PREFIX);
      return listing.ok && listing.value.entries.length >= names.length;
    },
  );
  // Gives the contacts time, so that nodes that start from now on find all of them when they first read the store.
  await sleep(1_000);
  return nodes;
}
