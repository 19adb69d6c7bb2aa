import type { AccountId } from '@buckthornslip/common';
import type { PublicationResult } from '@buckthornslip/distribution';

import type { MeasurementEnvironment } from './MeasurementEnvironment';

function expectPublished(result: PublicationResult): void {
  if (result.kind !== 'published') throw new Error(`not published: ${JSON.stringify(result)}`);
}

/**
 * Publishes a manifest.
 *
 * @param world - The world.
 * @param manifest - TOML text.
 * @throws If it is refused.
 * @internal
 */
export async function publishManifest(
  environment: MeasurementEnvironment,
  manifest: string,
): Promise<void> {
  expectPublished(await environment.publisher.publishManifest(manifest));
}

/**
 * Grants a key to a client account.
 *
 * @param world - The world.
 * @param account - Number of the account.
 * @returns The key.
 * @throws If it is not granted.
 * @internal
 */
export async function grantKey(
  environment: MeasurementEnvironment,
  account: number,
): Promise<string> {
  const { key, result } = await environment.publisher.grantKey(`account-${account}` as AccountId);
  expectPublished(result);
  return key;
}
