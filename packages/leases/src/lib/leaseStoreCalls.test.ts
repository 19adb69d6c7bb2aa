import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import { defaultLeaseTiming } from '@buckthornslip/leases';
import t from 'tap';

import { createLeaseSimulation } from './simulation/createLeaseSimulation';
import type { LeaseSimulation } from './simulation/LeaseSimulation';

const MINUTE = 60_000;

const createOf = (count: number, seed: number): LeaseSimulation =>
  createLeaseSimulation({
    clock: createFakeClock(),
    random: createSeededRandom(seed),
    timing: defaultLeaseTiming,
    hosts: Array.from({ length: count }, (_, host) => ({ zone: `zone-${host % 2}`, rate: 1 })),
  });

void t.test('all nodes agree on the first holder, and only that node writes', async (test) => {
  const holders = new Set<number | undefined>();
  for (let seed = 1; seed <= 10; seed += 1) {
    const simulation = createOf(10, seed);
    await simulation.run(1_000);
    holders.add(simulation.holder());
    test.ok(simulation.store.calls.compareAndSwap <= 2);
    simulation.close();
  }
  test.equal(holders.size, 1);
});

void t.test('the candidates are in other zones than the holder', async (test) => {
  const simulation = createOf(6, 1);
  await simulation.run(MINUTE);
  const holder = simulation.holder() ?? 0;
  const candidates =
    simulation.node(holder)?.manager.heldLease(simulation.partition)?.candidates ?? [];
  test.equal(candidates.length, 2);
  candidates.forEach(({ host }) => {
    test.not(Number(host.slice('host-'.length)) % 2, holder % 2);
  });
  simulation.close();
});

void t.test('additional nodes of a service add few calls to the store', async (test) => {
  const simulation = createOf(25, 1);
  await simulation.run(5 * MINUTE);
  const { calls } = simulation.store;
  const before = { ...calls };
  await simulation.run(10 * MINUTE);
  const writes = (calls.compareAndSwap - before.compareAndSwap) / 10;
  const reads = (calls.get - before.get) / 10;
  test.comment(`${writes} writes and ${reads} reads per minute for a partition with 25 nodes`);
  // With 280 services these limits amount to 93 writes/s and 327 reads/s.
  test.ok(writes <= 20);
  test.ok(reads <= 70);
  simulation.close();
});
