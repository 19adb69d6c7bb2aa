import { setTimeout as sleep } from 'node:timers/promises';

import { sendRequest } from '@buckthornslip/app-standins';

import { formatManifest } from './formatManifest';
import { measureUsage } from './measureUsage';
import { grantKey, publishManifest } from './publish';
import type { Series } from './Series';
import { startContacts } from './startContacts';
import { startSyntheticPeers } from './startSyntheticPeers';
import { startMeasuredNode } from './startMeasuredNode';
import { withMeasurementEnvironment } from './withMeasurementEnvironment';

const ACCOUNTS = 8;
const MEMBERS_PER_SERVICE = 25;

/**
 * @returns Series over the number of services, with 25 members each, to which a node subscribes.
 * @internal
 */
export function createSubscriptionSeries(): Series {
  return {
    name: 'services subscribed to',
    unit: 'services of 25 members',
    sizes: [1, 5, 10, 20],
    measure: (size, plan) =>
      withMeasurementEnvironment(async (environment) => {
        await publishManifest(environment, formatManifest(size, ACCOUNTS));
        const key = await grantKey(environment, 0);
        const contacts = await startContacts(environment, ['contact-a', 'contact-b', 'contact-c']);
        const seeds = contacts.map(({ control }) => control);
        const node = await startMeasuredNode(environment, 'measured');
        const indices = Array.from({ length: size * MEMBERS_PER_SERVICE }, (_, index) => index);
        await startSyntheticPeers(
          environment,
          indices.map((index) => ({ index, seeds, service: `service-${index % size}` })),
        );
        await sleep(plan.settleMilliseconds);
        const headers = { Authorization: `Bearer ${key}` };
        // A call makes the node subscribe to the service. The call fails, as the service has no real upstream.
        const subscribe = (index: number): Promise<unknown> => {
          const path = `/service-${index}/1`;
          return sendRequest({ address: node.callers, method: 'GET', path, headers, agent: false });
        };
        await Promise.allSettled(Array.from({ length: size }, (_, index) => subscribe(index)));
        await sleep(plan.settleMilliseconds);
        return { subscriber: await measureUsage(node.pid, plan.runs, plan.runMilliseconds) };
      }),
  };
}
