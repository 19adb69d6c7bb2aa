import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createSystemClock } from '@buckthornslip/common';
import { createPublisher, toConfigurationStore } from '@buckthornslip/distribution';
import { createStoreClient, createStoreServer } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';

import type { MeasurementEnvironment } from './MeasurementEnvironment';

const FLEET_SECRET = 'fleet secret of the capacity bench only';

/**
 * Runs a measurement in a new environment and cleans the environment up afterwards.
 *
 * @param measure - Measurement to run.
 * @returns Result of the measurement.
 * @internal
 */
export async function withMeasurementEnvironment<Result>(
  measure: (environment: MeasurementEnvironment) => Promise<Result>,
): Promise<Result> {
  const clock = createSystemClock();
  const directory = await mkdtemp(join(tmpdir(), 'buckthornslip-capacity-'));
  await writeFile(join(directory, 'secret'), FLEET_SECRET);
  const store = await createStoreServer({ clock, listen: '127.0.0.1:0' });
  const logger = createSilentLogger();
  const storeClient = createStoreClient({ endpoints: [store.address], clock, logger });
  const publisherOptions = { clock, fleetSecret: FLEET_SECRET };
  const publisher = createPublisher(toConfigurationStore(storeClient), publisherOptions);
  const cleanups: (() => unknown)[] = [];
  const onClose = (cleanup: () => unknown): void => {
    cleanups.unshift(cleanup);
  };
  try {
    return await measure({
      ...publisherOptions,
      store,
      storeClient,
      publisher,
      directory,
      onClose,
    });
  } finally {
    for (const cleanup of cleanups) await cleanup();
    storeClient.close();
    store.close();
    await rm(directory, { recursive: true });
  }
}
