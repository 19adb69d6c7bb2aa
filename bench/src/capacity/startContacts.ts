import { setTimeout as sleep } from 'node:timers/promises';

import { waitFor } from '../demo/waitFor';
import type { MeasuredNode } from './startMeasuredNode';
import { startMeasuredNode } from './startMeasuredNode';
import type { MeasurementEnvironment } from './MeasurementEnvironment';

const CONTACT_LIMIT_MILLISECONDS = 20_000;
const CONTACT_PREFIX = 'contacts/';

/**
 * Starts nodes, one after the other, that become the contacts of their zone.
 *
 * @param world - The world that they join.
 * @param names - Their hosts.
 * @returns The nodes.
 * @internal
 */
export async function startContacts(
  environment: MeasurementEnvironment,
  names: readonly string[],
): Promise<readonly MeasuredNode[]> {
  const nodes = await Promise.all(names.map((name) => startMeasuredNode(environment, name)));
  await waitFor('the contacts are recorded', CONTACT_LIMIT_MILLISECONDS, async () => {
    const listing = await environment.storeClient.list(CONTACT_PREFIX);
    return listing.ok && listing.value.entries.length >= names.length;
  });
  // Nodes that start now find the contacts in their first reading of the store.
  await sleep(1_000);
  return nodes;
}
