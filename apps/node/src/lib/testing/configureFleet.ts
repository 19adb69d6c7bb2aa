import { readFile } from 'node:fs/promises';

import type { AccountId } from '@buckthornslip/common';
import type { Publisher } from '@buckthornslip/distribution';

import type { NodeFleet } from './NodeFleet';

/**
 * Publishes the example manifest of deployment Auklu and grants a key.
 *
 * @param fleet - The fleet.
 * @returns The key and its id.
 * @internal
 */
export async function configureFleet(fleet: NodeFleet): ReturnType<Publisher['grantKey']> {
  const manifest = await readFile('examples/auklu/manifest.toml', 'utf8');
  await fleet.publisher.publishManifest(manifest);
  return fleet.publisher.grantKey('riga-city' as AccountId);
}
