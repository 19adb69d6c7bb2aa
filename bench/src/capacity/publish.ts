import type { AccountId } from '@buckthornslip/common';
import type { PublicationResult } from '@buckthornslip/distribution';

import type { MeasurementEnvironment } from './MeasurementEnvironment';

function expectPublished(result: PublicationResult): void {
  if (result.kind !== 'published') throw new Error(`publication failed: ${JSON.stringify(result)}`);
}

/**
 * Publishes a manifest.
 *
 * @param environment - Environment of the measurement.
 * @param manifest - Manifest as TOML.
 * @throws If the publication fails.
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
 * @param environment - Environment of the measurement.
 * @param account - Index of the account, as in {@link formatManifest}.
 * @returns Granted key.
 * @throws If the publication fails.
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
