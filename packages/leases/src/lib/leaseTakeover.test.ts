import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import { defaultLeaseTiming } from '@buckthornslip/leases';
import t from 'tap';

import { createLeaseSimulation } from './simulation/createLeaseSimulation';
import type { LeaseSimulation } from './simulation/LeaseSimulation';

const TERM = defaultLeaseTiming.termMilliseconds;
const MINUTE = 60_000;

async function createStarted(seed = 1): Promise<LeaseSimulation> {
  const simulation = createLeaseSimulation({
    clock: createFakeClock(),
    random: createSeededRandom(seed),
    timing: defaultLeaseTiming,
    hosts: ['a', 'a', 'b', 'b'].map((zone) => ({ zone, rate: 1 })),
  });
  await simulation.run(2 * TERM);
  return simulation;
}

const holderOf = (simulation: LeaseSimulation): number => {
  const host = simulation.holder();
  if (host === undefined) throw new Error('no node holds the partition');
  return host;
};

void t.test('a crashed holder is replaced within two terms', async (test) => {
  const gaps: number[] = [];
  for (let seed = 1; seed <= 30; seed += 1) {
    const simulation = await createStarted(seed);
    // The seed shifts the crash within the renewal interval, and pauses of a follower shift its reads.
    await simulation.run(seed * 310);
    const holder = holderOf(simulation);
    const other = (holder + 1) % 4;
    simulation.node(other)?.pauseControl.pause();
    await simulation.run((seed * 470) % 3_000);
    simulation.node(other)?.pauseControl.resume();
    await simulation.run(1_000);
    simulation.crash(holder);
    gaps.push(await simulation.run(2 * TERM, 50));
    test.same(simulation.violations, []);
    simulation.close();
  }
  const worst = Math.max(...gaps);
  test.comment(`longest gap ${worst} ms, shortest ${Math.min(...gaps)} ms`);
  test.ok(worst < 2 * TERM);
});

void t.test('candidates extend the lease through 5 minutes without the store', async (test) => {
  const simulation = await createStarted();
  simulation.store.faults.setDown(true);
  test.equal(await simulation.run(5 * MINUTE), 0, 'no time without a holder');
  simulation.store.faults.setDown(false);
  test.equal(await simulation.run(MINUTE), 0);
  test.same(simulation.epochs, [1]);
  simulation.close();
});

void t.test('a candidate that restarts during an outage does not end the lease', async (test) => {
  const simulation = await createStarted();
  const holder = holderOf(simulation);
  const candidate = simulation.node(holder)?.manager.heldLease(simulation.partition)?.candidates[0];
  const host = Number(candidate?.host.slice('host-'.length));
  simulation.store.faults.setDown(true);
  await simulation.run(MINUTE);
  simulation.start(host);
  test.equal(await simulation.run(MINUTE), 0);
  simulation.close();
});

void t.test(
  'without extensions the lease ends for the holder before the term does',
  async (test) => {
    const simulation = await createStarted();
    simulation.setMessageLoss(1);
    simulation.store.faults.setDown(true);
    await simulation.run(TERM);
    test.equal(simulation.holder(), undefined);
    simulation.close();
  },
);

void t.test('a planned stop hands over immediately', async (test) => {
  const simulation = await createStarted();
  const manager = simulation.node(holderOf(simulation))?.manager;
  void manager?.handOverAll();
  const gap = await simulation.run(TERM, 10);
  test.ok(gap <= 250, `gap of ${gap} ms`);
  test.same(simulation.epochs, [1, 2]);
  test.same(simulation.violations, []);
  simulation.close();
});

void t.test(
  'after a later incarnation starts in the holder’s slot, no node waits for the term',
  async (test) => {
    const simulation = await createStarted();
    simulation.start(holderOf(simulation));
    const gap = await simulation.run(TERM, 50);
    test.ok(gap <= TERM / 3 + 500, `gap of ${gap} ms`);
    simulation.close();
  },
);

void t.test('a non-candidate takes over only after the maximum outage', async (test) => {
  const simulation = await createStarted();
  const holder = holderOf(simulation);
  const { candidates = [] } =
    simulation.node(holder)?.manager.heldLease(simulation.partition) ?? {};
  [holder, ...candidates.map(({ host }) => Number(host.slice('host-'.length)))].forEach(
    simulation.crash,
  );
  await simulation.run(29 * MINUTE, 1_000);
  test.equal(simulation.holder(), undefined);
  await simulation.run(6 * MINUTE, 1_000);
  const successor = holderOf(simulation);
  const heldLease = simulation.node(successor)?.manager.heldLease(simulation.partition);
  test.match(heldLease, { epoch: 2, startedWithoutState: true });
  simulation.close();
});

void t.test('a holder cut off from the store stops at the maximum outage', async (test) => {
  const simulation = await createStarted();
  const holder = holderOf(simulation);
  simulation.setCutOff(holder, true);
  test.equal(await simulation.run(29 * MINUTE, 500), 0, 'candidates extend the lease');
  await simulation.run(MINUTE + TERM);
  test.not(simulation.holder(), holder);
  await simulation.run(5 * MINUTE);
  test.not(simulation.holder(), undefined, 'another node takes over');
  test.same(simulation.violations, []);
  simulation.close();
});

void t.test(
  'a candidate listed by an unconfirmed write is asked for an extension',
  async (test) => {
    const simulation = await createStarted();
    const { partition, store } = simulation;
    const holder = holderOf(simulation);
    const manager = simulation.node(holder)?.manager;
    const before = manager?.heldLease(partition)?.candidates ?? [];
    simulation.setSuspected(Number(before[0]?.host.slice('host-'.length)), true);
    store.faults.loseWriteResponses(1);
    const renewals = store.calls.compareAndSwap;
    while (store.calls.compareAndSwap === renewals) await simulation.run(1, 1);
    simulation.setCutOff(holder, true);
    await simulation.run(MINUTE);
    test.same(simulation.violations, []);
    test.equal(manager?.heldLease(partition)?.candidates.length, 3, 'old and new candidates');
    test.equal(simulation.holder(), holder);
    simulation.close();
  },
);

void t.test(
  'an extension counts from its request, also after a pause of the holder',
  async (test) => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const simulation = await createStarted(seed);
      const holder = holderOf(simulation);
      simulation.store.faults.setDown(true);
      await simulation.run(MINUTE);
      simulation.pauseAtNextRequest(holder, 5_000);
      await simulation.run(TERM / 3);
      simulation.store.faults.setDown(false);
      const pauseControl = simulation.node(holder)?.pauseControl;
      while (pauseControl?.isRunning() === false) await simulation.run(1, 1);
      // The answers are handled, then the holder is paused again.
      await simulation.run(2, 1);
      pauseControl?.pause();
      await simulation.run(2 * TERM, 50);
      test.same(simulation.violations, []);
      test.not(simulation.holder(), holder);
      simulation.close();
    }
  },
);

void t.test('a dead candidate is replaced and a removed one is not chosen again', async (test) => {
  const simulation = await createStarted();
  const { partition } = simulation;
  const manager = simulation.node(holderOf(simulation))?.manager;
  const candidatesNow = (): string[] =>
    (manager?.heldLease(partition)?.candidates ?? []).map(({ host }) => host);
  const [first, second] = manager?.heldLease(partition)?.candidates ?? [];
  if (!manager || !first || !second) throw new Error('the holder lacks candidates');
  simulation.crash(Number(first.host.slice('host-'.length)));
  await simulation.run(TERM);
  test.equal(candidatesNow().length, 2);
  test.notOk(candidatesNow().includes(first.host));
  const removed = manager.removeCandidate(partition, second);
  await simulation.run(500, 10);
  test.match(await removed, { ok: true });
  test.notOk(candidatesNow().includes(second.host));
  simulation.store.faults.setDown(true);
  const [last] = manager.heldLease(partition)?.candidates ?? [];
  if (!last) throw new Error('the holder lacks a candidate');
  const failed = manager.removeCandidate(partition, last);
  await simulation.run(2 * TERM, 100);
  test.match(await failed, { ok: false });
  simulation.close();
});

void t.test('store reads and messages do not grow with calls for the holder', async (test) => {
  const simulation = await createStarted();
  const { partition, store } = simulation;
  const follower = [0, 1, 2, 3].find((host) => host !== simulation.holder()) ?? 0;
  const manager = simulation.node(follower)?.manager;
  if (!manager) throw new Error('the follower is missing');
  const reads = store.calls.get;
  for (let call = 0; call < 1_000; call += 1) {
    manager.forgetLocation(partition);
    void manager.locate(partition);
  }
  await simulation.run(1_000);
  test.ok(store.calls.get - reads <= 4, `${store.calls.get - reads} reads for 1,000 calls`);
  const located = manager.locate(partition);
  await simulation.run(100);
  const location = await located;
  test.equal(location.ok && location.value.controlAddress, `host-${simulation.holder()}:1`);
  simulation.close();
});
