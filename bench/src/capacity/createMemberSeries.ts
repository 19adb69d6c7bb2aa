import { setTimeout as sleep } from 'node:timers/promises';

import { formatManifest } from './formatManifest';
import { measureUsage } from './measureUsage';
import { publishManifest } from './publish';
import type { Series } from './Series';
import { startContacts } from './startContacts';
import { startSyntheticPeers } from './startSyntheticPeers';
import { startMeasuredNode } from './startMeasuredNode';
import { withMeasurementEnvironment } from './withMeasurementEnvironment';

const ACCOUNTS = 8;

/**
 * @returns Series over the members of the measured node's own service. The measured node is not a zone contact.
 * @internal
 */
export function createMemberSeries(): Series {
  return {
    name: 'members of the own service',
    unit: 'members',
    sizes: [8, 25, 50, 100],
    measure: (size, plan) =>
      withMeasurementEnvironment(async (environment) => {
        await publishManifest(environment, formatManifest(1, ACCOUNTS));
        const contacts = await startContacts(environment, ['contact-a', 'contact-b', 'contact-c']);
        const seeds = contacts.map(({ control }) => control);
        const node = await startMeasuredNode(environment, 'measured');
        await node.announce('service-0');
        const indices = Array.from({ length: size - 1 }, (_, index) => index);
        const service = 'service-0';
        await startSyntheticPeers(
          environment,
          indices.map((index) => ({ index, seeds, service })),
        );
        await sleep(plan.settleMilliseconds);
        return { member: await measureUsage(node.pid, plan.runs, plan.runMilliseconds) };
      }),
  };
}
