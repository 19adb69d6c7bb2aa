import { setTimeout as sleep } from 'node:timers/promises';

import { formatManifest } from './formatManifest';
import { measureUsage } from './measureUsage';
import { publishManifest } from './publish';
import type { Series } from './Series';
import { startContacts } from './startContacts';
import { startSyntheticPeers } from './startSyntheticPeers';
import { withMeasurementEnvironment } from './withMeasurementEnvironment';

const ACCOUNTS = 8;

/** Each node polls one of three contacts every 750 ms, so a contact receives one poll per node every 2,250 ms. */
const POLL_MILLISECONDS = 2_250;

/**
 * @param polls - Whether the registered nodes also poll the configuration.
 * @returns Series over the number of nodes registered with a zone contact.
 * @internal
 */
export function createContactSeries(polls: boolean): Series {
  return {
    name: polls ? 'registered nodes, with polls' : 'registered nodes',
    unit: 'nodes',
    sizes: [25, 100, 300, 600],
    measure: (size, plan) =>
      withMeasurementEnvironment(async (environment) => {
        await publishManifest(environment, formatManifest(1, ACCOUNTS));
        const [node] = await startContacts(environment, ['measured']);
        if (node === undefined) throw new Error('no node was started');
        const seeds = [node.control];
        const options = polls ? { seeds, pollMilliseconds: POLL_MILLISECONDS } : { seeds };
        const indices = Array.from({ length: size }, (_, index) => index);
        await startSyntheticPeers(
          environment,
          indices.map((index) => ({ index, ...options })),
        );
        await sleep(plan.settleMilliseconds);
        return { contact: await measureUsage(node.pid, plan.runs, plan.runMilliseconds) };
      }),
  };
}
