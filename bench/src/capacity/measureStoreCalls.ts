import { setTimeout as sleep } from 'node:timers/promises';

import { startNodeFleet } from '@buckthornslip/app-node';
import type { StoreCallCounts } from '@buckthornslip/platform';

import { formatManifest } from './formatManifest';

const ZONES = 4;
const SERVICES = 4;
const ACCOUNTS = 8;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Counts the calls of a fleet with two regions, four zones and four services to its store.
 *
 * @param nodes - Number of nodes.
 * @param settleMilliseconds - Time before counting starts.
 * @param milliseconds - Duration of the count.
 * @returns Calls per second by kind; for `watch`, the number of watches started.
 * @internal
 */
export async function measureStoreCalls(
  nodes: number,
  settleMilliseconds: number,
  milliseconds: number,
): Promise<StoreCallCounts> {
  const placements = Array.from({ length: nodes }, (_, index) => {
    const region = index % 2 === 0 ? 'riga' : 'daugavpils';
    const zone = `${region}-${Math.floor((index % ZONES) / 2)}`;
    return { region, zone, service: `service-${Math.floor(index / ZONES) % SERVICES}` };
  });
  const fleet = await startNodeFleet(placements);
  await fleet.publisher.publishManifest(
    formatManifest(SERVICES, ACCOUNTS).replace(
      '[regions.riga]\nzones = ["riga-a"]',
      '[regions.riga]\nzones = ["riga-0", "riga-1"]\n[regions.daugavpils]\nzones = ["daugavpils-0", "daugavpils-1"]',
    ),
  );
  await sleep(settleMilliseconds);
  const before = { ...fleet.store.calls };
  await sleep(milliseconds);
  const after = { ...fleet.store.calls };
  await fleet.close();
  const rate = (kind: keyof StoreCallCounts): number =>
    ((after[kind] - before[kind]) * MILLISECONDS_PER_SECOND) / milliseconds;
  return {
    get: rate('get'),
    list: rate('list'),
    compareAndSwap: rate('compareAndSwap'),
    remove: rate('remove'),
    watch: rate('watch'),
    lease: rate('lease'),
  };
}
