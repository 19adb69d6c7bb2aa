import { setTimeout as sleep } from 'node:timers/promises';

import { formatManifest } from './formatManifest';
import { measureUsage } from './measureUsage';
import { grantKey, publishManifest } from './publish';
import type { Series } from './Series';
import { startContacts } from './startContacts';
import { startMeasuredNode } from './startMeasuredNode';
import type { MeasurementEnvironment } from './MeasurementEnvironment';
import { withMeasurementEnvironment } from './withMeasurementEnvironment';

const SERVICES = 4;
const ACCOUNTS = 8;
const MILLISECONDS_PER_MINUTE = 60_000;

function measureAfter(
  prepare: (environment: MeasurementEnvironment, size: number) => Promise<void>,
  during: (environment: MeasurementEnvironment, size: number) => void = () => undefined,
): Series['measure'] {
  return (size, plan) =>
    withMeasurementEnvironment(async (environment) => {
      await prepare(environment, size);
      const [contact] = await startContacts(environment, ['contact-a', 'contact-b', 'contact-c']);
      const node = await startMeasuredNode(environment, 'measured');
      await sleep(plan.settleMilliseconds);
      during(environment, size);
      const [member, watcher] = await Promise.all(
        [node.pid, contact?.pid ?? 0].map((pid) =>
          measureUsage(pid, plan.runs, plan.runMilliseconds),
        ),
      );
      if (member === undefined || watcher === undefined) throw new Error('nothing was measured');
      return { member, contact: watcher };
    });
}

async function grantKeys(environment: MeasurementEnvironment, count: number): Promise<void> {
  await publishManifest(environment, formatManifest(SERVICES, ACCOUNTS));
  for (let index = 0; index < count; index += 1) {
    await grantKey(environment, index % ACCOUNTS);
  }
}

/**
 * @returns Series over the number of client accounts in the manifest.
 * @internal
 */
export function createAccountSeries(): Series {
  return {
    name: 'client accounts in the manifest',
    unit: 'accounts',
    sizes: [8, 100, 500],
    measure: measureAfter(async (environment, size) => {
      await publishManifest(environment, formatManifest(SERVICES, size));
    }),
  };
}

/**
 * Keys are granted one by one, as by operators. Each grant rewrites the list of keys, which limits the sizes that can
 * be measured.
 *
 * @returns Series over the number of keys.
 * @internal
 */
export function createKeySeries(): Series {
  return { name: 'keys', unit: 'keys', sizes: [10, 300, 1_000], measure: measureAfter(grantKeys) };
}

/**
 * @returns Series over the revisions published per minute.
 * @internal
 */
export function createRevisionSeries(): Series {
  const publishRegularly = (environment: MeasurementEnvironment, perMinute: number): void => {
    let isEnded = false;
    environment.onClose(() => {
      isEnded = true;
    });
    const publish = async (): Promise<void> => {
      while (!isEnded) {
        await sleep(MILLISECONDS_PER_MINUTE / perMinute);
        if (!isEnded) await grantKey(environment, 0);
      }
    };
    void publish();
  };
  return {
    name: 'revisions a minute',
    unit: 'revisions a minute',
    sizes: [12, 60, 120, 240],
    measure: measureAfter((environment) => grantKeys(environment, 1), publishRegularly),
  };
}
