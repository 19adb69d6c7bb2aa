/**
 * Runs synthetic peers until the parent process disconnects. The first argument is a {@link PeerProcessPlan} as JSON.
 */
import { createSystemClock } from '@buckthornslip/common';
import { createStoreClient } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';

import type { PeerProcessPlan } from './PeerProcessPlan';
import { startSyntheticPeer } from './startSyntheticPeer';

const plan = JSON.parse(process.argv[2] ?? '') as PeerProcessPlan;
const clock = createSystemClock();
const logger = createSilentLogger();
const storeClient = createStoreClient({ endpoints: [plan.storeAddress], clock, logger });
const { fleetSecret } = plan;

process.once('disconnect', () => {
  // The peers need no graceful shutdown.
  // eslint-disable-next-line n/no-process-exit
  process.exit(0);
});
for (const peer of plan.peers) {
  await startSyntheticPeer({ clock, storeClient, fleetSecret, onClose: () => undefined }, peer);
}
process.send?.('ready');
