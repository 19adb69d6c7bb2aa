import { setTimeout as sleep } from 'node:timers/promises';

import { createLoadGenerator, createStubUpstream } from '@buckthornslip/app-standins';

import { formatManifest } from './formatManifest';
import { measureUsage } from './measureUsage';
import { grantKey, publishManifest } from './publish';
import type { Series } from './Series';
import { startContacts } from './startContacts';
import { startMeasuredNode } from './startMeasuredNode';
import { withMeasurementEnvironment } from './withMeasurementEnvironment';

const ACCOUNTS = 8;
const MILLISECONDS_PER_SECOND = 1_000;

/** Time for which calls continue after the measurement, in milliseconds. */
const SPARE_MILLISECONDS = 2_000;

/**
 * @param isNonRepeatable - Whether the calls are non-repeatable and have an Idempotency-Key header.
 * @returns Series over the calls per second, for an entry node and a separate serving node.
 * @internal
 */
export function createCallSeries(isNonRepeatable: boolean): Series {
  return {
    name: isNonRepeatable ? 'non-repeatable calls' : 'repeatable calls',
    unit: 'calls a second',
    sizes: isNonRepeatable ? [25, 50, 100, 200] : [50, 100, 200, 400],
    measure: (size, plan) =>
      withMeasurementEnvironment(async (environment) => {
        await publishManifest(environment, formatManifest(1, ACCOUNTS));
        const key = await grantKey(environment, 0);
        const names = ['contact-a', 'contact-b', 'contact-c'];
        const [home, second] = await startContacts(environment, names);
        const [entry, serving] = await Promise.all([
          startMeasuredNode(environment, 'entry'),
          startMeasuredNode(environment, 'serving'),
        ]);
        const upstream = createStubUpstream({
          service: 'service-0',
          node: serving.outgoing,
          slots: 500,
          connections: 500,
          latencyMilliseconds: 1,
        });
        await upstream.start();
        environment.onClose(() => upstream.crash());
        await sleep(plan.settleMilliseconds);
        const milliseconds =
          plan.settleMilliseconds + plan.runs * plan.runMilliseconds + SPARE_MILLISECONDS;
        const calls = createLoadGenerator({
          address: entry.callers,
          key,
          method: isNonRepeatable ? 'POST' : 'GET',
          path: '/service-0/1',
          idempotent: isNonRepeatable,
          ratePerSecond: size,
          count: Math.round((size * milliseconds) / MILLISECONDS_PER_SECOND),
        }).run();
        await sleep(plan.settleMilliseconds);
        const measured = { entry, serving, ...(home && { home }), ...(second && { second }) };
        const usages = await Promise.all(
          Object.entries(measured).map(async ([role, { pid }]) => {
            const usage = await measureUsage(pid, plan.runs, plan.runMilliseconds);
            return [role, usage] as const;
          }),
        );
        const { byReason, byStatus } = await calls;
        process.stderr.write(
          `calls at ${size}/s by status: ${JSON.stringify({ ...byStatus, ...byReason })}\n`,
        );
        return Object.fromEntries(usages);
      }),
  };
}
