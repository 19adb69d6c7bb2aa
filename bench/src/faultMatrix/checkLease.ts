import assert from 'node:assert/strict';

import { defaultLeaseTiming } from '@buckthornslip/leases';

import type { Fault } from './faults';
import type { LeaseProcess, LeaseSimulation } from './createLeaseSimulation';
import { createLeaseSimulation } from './createLeaseSimulation';

const TERM = defaultLeaseTiming.termMilliseconds;

/**
 * Delay of store operations in milliseconds; longer than the timeout of the requests, so each times out before it takes
 * effect.
 */
const SLOW_MILLISECONDS = 1_500;

/** Operations of a lease manager. */
export type LeaseOperation = 'acquire lease' | 'renew lease' | 'hand over';

type FaultInjector = (simulation: LeaseSimulation, target: LeaseProcess) => void;

function update(target: LeaseProcess, values: Partial<LeaseProcess>): void {
  Object.assign(target, values);
}

const faultInjectors: Partial<Record<Fault, FaultInjector>> = {
  'store down': ({ store }) => store.faults.setDown(true),
  'store slow': ({ store }) => store.faults.setSlow(SLOW_MILLISECONDS),
  'store response lost': ({ store }) => store.faults.loseWriteResponses(2),
  'lease lapsed in a pause': ({ clock }, target) =>
    update(target, { pausedUntil: clock.monotonicMilliseconds() + 3 * TERM }),
  'node crash': (_world, target) => {
    target.manager.close();
    update(target, { isCrashed: true });
  },
  'region cut': (_world, target) => update(target, { isDisconnected: true }),
};

async function prepare(
  simulation: LeaseSimulation,
  operation: LeaseOperation,
): Promise<LeaseProcess> {
  const [first] = simulation.processes;
  if (operation !== 'acquire lease') {
    simulation.participate();
    await simulation.run(2 * TERM);
  }
  const target = simulation.holder() ?? first;
  assert.ok(target, 'no process to inject the fault into');
  return target;
}

const startOperation: Readonly<
  Record<LeaseOperation, (simulation: LeaseSimulation, target: LeaseProcess) => void>
> = {
  'acquire lease': ({ participate }) => participate(),
  // The holder renews its lease periodically without being told.
  'renew lease': () => undefined,
  'hand over': (_world, { manager }) => {
    void manager.handOverAll();
  },
};

/**
 * Runs a lease operation under a fault. Checks that there is never more than one holder, that epochs never decrease and
 * that the partition has a holder again after the fault.
 *
 * @param operation - Operation to run.
 * @param fault - Fault to inject before the operation.
 */
export async function checkLease(operation: LeaseOperation, fault: Fault): Promise<void> {
  const simulation = createLeaseSimulation();
  const target = await prepare(simulation, operation);
  faultInjectors[fault]?.(simulation, target);
  startOperation[operation](simulation, target);
  await simulation.run(4 * TERM);
  simulation.store.faults.setDown(false);
  simulation.store.faults.setSlow(0);
  simulation.store.faults.loseWriteResponses(0);
  update(target, { isDisconnected: false });
  await simulation.run(4 * TERM);
  assert.deepEqual(
    simulation.violations,
    [],
    '6 and 9: two holders at once, or an epoch decreased',
  );
  assert.ok(simulation.holder(), 'the partition has no holder after the fault');
  simulation.close();
}
