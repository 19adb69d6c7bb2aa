import type { ZoneId } from '@buckthornslip/common';
import type { StoreBackup, StoreEra } from '@buckthornslip/platform';
import fc from 'fast-check';
import t from 'tap';

import type { DirectoryFleet } from '../testing/createDirectoryFleet';
import { createDirectoryFleet } from '../testing/createDirectoryFleet';
import { directoryTimes } from './directoryTimes';
import { rewriteSpread } from './rewriteSpread';

const SEED = 20_261_206;
const ZONES = 4;

/** Time for which the store is unavailable, in milliseconds. */
const OUTAGE_MILLISECONDS = 700;

/** Time until each node has noticed a restore and has written its record again, in milliseconds. */
const REWRITE_MILLISECONDS = 4_000;

const hostsOf = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `host-${index}`).sort();

function startFleet(seed: number, hosts: readonly string[]): DirectoryFleet {
  const fleet = createDirectoryFleet(seed);
  hosts.forEach((host, index) => fleet.start(host, undefined, `zone-${index % ZONES}` as ZoneId));
  return fleet;
}

/** Writes entries of other clients, so that the revisions that are lost exist again. */
async function writeOthers({ store }: DirectoryFleet, name: string, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await store.compareAndSwap(`other/${name}-${index}`, 0, Buffer.from('value'));
  }
}

/** Restores a backup; `rewrite` writes what the operator writes again before the store serves the hosts. */
async function restore(
  fleet: DirectoryFleet,
  hosts: readonly string[],
  backup: StoreBackup,
  rewrite: () => Promise<void> = () => Promise.resolve(),
): Promise<void> {
  hosts.forEach((host) => fleet.turnedAway.set(host, 'refused'));
  await fleet.clock.advance(OUTAGE_MILLISECONDS);
  fleet.store.restore(backup);
  await rewrite();
  await writeOthers(fleet, `era-${fleet.store.era()}`, 80);
  fleet.turnedAway.clear();
}

async function recordedHosts({ store }: DirectoryFleet): Promise<string[]> {
  const listing = await store.list('buckthornslip/nodes/');
  if (!listing.ok) return [];
  return listing.value.entries.map(({ key }) => key.split('/').at(-1) as string).sort();
}

// Guards against nodes that lose each other with their records, and against a fleet that writes them again more than once or at once.
void t.test('84 nodes write their lost records again once, spread over time', async (test) => {
  const hosts = hostsOf(84);
  const fleet = createDirectoryFleet(SEED);
  const empty = fleet.store.backUp();
  hosts.forEach((host, index) => fleet.start(host, undefined, `zone-${index % ZONES}` as ZoneId));
  await fleet.clock.advance(20_000);
  await restore(fleet, hosts, empty);
  const { compareAndSwap } = fleet.store.calls;
  const written: number[] = [];
  const known = new Set<number>();
  for (let step = 0; step < 600; step += 1) {
    const before = fleet.store.calls.compareAndSwap;
    await fleet.clock.advance(100);
    written.push(fleet.store.calls.compareAndSwap - before);
    hosts.forEach((host) => known.add(fleet.usable(host).length));
    if (step * 100 === REWRITE_MILLISECONDS) test.same(await recordedHosts(fleet), hosts);
  }
  test.same([...known], [84], 'no node is taken for dead or removed');
  test.equal(fleet.store.calls.compareAndSwap - compareAndSwap, 84, 'each node writes once');
  // Two writes of each record, the lease and the record, may use 400 writes per second.
  test.ok(Math.max(...written) < 20, `${Math.max(...written)} records within 100 ms`);
  test.same(
    hosts.map((host) => fleet.restoresSeen.get(host)),
    hosts.map(() => 1),
  );
});

// Guards against a spread that lets a large fleet exceed a tenth of 1,200 writes per second, with two writes of each node.
void t.test('the spread grows with the fleet', async (test) => {
  test.equal(rewriteSpread(84), 1_000);
  test.ok((7_000 * 2 * 1_000) / rewriteSpread(7_000) <= 120);
});

// Guards against a departed node that the copy makes look alive, and against its record coming back for good.
void t.test('a node that left before the restore does not come back', async (test) => {
  const hosts = hostsOf(12);
  const remaining = hosts.slice(1);
  const [leaver] = hosts as [string];
  for (const pause of [0, 26_000, 75_000]) {
    const fleet = startFleet(SEED + 1, hosts);
    await fleet.clock.advance(5_000);
    const backup = fleet.store.backUp();
    void fleet.get(leaver).leave();
    await fleet.clock.advance(500);
    fleet.end(leaver);
    await fleet.clock.advance(pause);
    await restore(fleet, remaining, backup);
    const found = new Set<string>();
    for (let step = 0; step < 400; step += 1) {
      await fleet.clock.advance(100);
      remaining.filter((host) => fleet.usable(host).includes(leaver)).forEach(found.add, found);
    }
    test.same([...found], [], `left ${pause} ms before`);
    test.same(await recordedHosts(fleet), remaining);
  }
});

// Guards against a node that ends another node's lease, which has the same id in the new era.
void t.test('a node that leaves after a restore removes no record of another', async (test) => {
  const hosts = hostsOf(12);
  const fleet = createDirectoryFleet(SEED + 2);
  const empty = fleet.store.backUp();
  hosts.forEach((host) => fleet.start(host));
  await fleet.clock.advance(5_000);
  const leavers = hosts.slice(0, 4);
  leavers.forEach((host) => fleet.unreachable.add(host));
  await restore(fleet, hosts, empty);
  // The leavers are cut off until the others have written again, so that they do not know of the restore.
  leavers.forEach((host) => fleet.turnedAway.set(host, 'refused'));
  await fleet.clock.advance(2 * REWRITE_MILLISECONDS);
  fleet.turnedAway.clear();
  leavers.forEach((host) => {
    void fleet.get(host).leave();
  });
  const seen = new Set<string>();
  for (let step = 0; step < REWRITE_MILLISECONDS / 100; step += 1) {
    await fleet.clock.advance(100);
    const recorded = await recordedHosts(fleet);
    seen.add(recorded.filter((host) => !leavers.includes(host)).join());
  }
  // A node whose lease is ended writes its record again after a while, so the records are checked all the time.
  test.same([...seen], [hosts.slice(4).join()]);
  test.same(await recordedHosts(fleet), hosts.slice(4));
});

// Guards against an older policy of the copy that confirms the newer one, and against a policy that is missed after it.
void t.test(
  'an older policy in the store neither confirms nor replaces the newer',
  async (test) => {
    const hosts = hostsOf(12);
    const fleet = startFleet(SEED + 3, hosts);
    await fleet.publish(1);
    await fleet.clock.advance(5_000);
    const backup = fleet.store.backUp();
    await fleet.publish(2);
    await fleet.clock.advance(5_000);
    await restore(fleet, hosts, backup);
    await fleet.clock.advance(10_000);
    const ages = hosts.map((host) => fleet.get(host).currentMessage().policyAgeMilliseconds);
    test.ok(Math.min(...ages) >= 10_000, `confirmed ${Math.min(...ages)} ms ago`);
    test.same([...new Set(hosts.map((host) => fleet.policyRevision(host)))], [2]);
    await fleet.publish(2);
    await fleet.clock.advance(5_000);
    const later = hosts.map((host) => fleet.get(host).currentMessage().policyAgeMilliseconds);
    test.ok(Math.max(...later) < 5_000, `confirmed ${Math.max(...later)} ms ago`);
  },
);

// Guards against a wrong era of another node that makes nodes write again and again, or that hides a real restore.
void t.test('a wrong era of another node has one effect', async (test) => {
  const hosts = hostsOf(4);
  const fleet = startFleet(SEED + 4, hosts);
  await fleet.clock.advance(5_000);
  const [first, second] = hosts as [string, string];
  const { compareAndSwap } = fleet.store.calls;
  const message = { ...fleet.get(second).currentMessage(), storeEra: 99 as StoreEra };
  for (let round = 0; round < 20; round += 1) {
    fleet.get(first).receive(message);
    await fleet.clock.advance(1_000);
  }
  test.equal(fleet.store.calls.compareAndSwap - compareAndSwap, 1);
  await restore(fleet, hosts, fleet.store.backUp());
  // A node that was told a wrong era learns of the restore from the store only.
  await fleet.clock.advance(2 * REWRITE_MILLISECONDS);
  test.equal(fleet.store.calls.compareAndSwap - compareAndSwap, 1 + 80 + hosts.length);
  test.equal(fleet.restoresSeen.get(first), 2);
});

// Guards against any order of backups, restores, departures, policies and frozen nodes after which a node misses a policy,
// a live node has no record, or a departed one comes back.
void t.test('the fleet recovers from restores at any moment', async (test) => {
  const hosts = hostsOf(8);
  const moment = fc.integer({ min: 0, max: 12_000 });
  const scenario = fc.record({
    backupAfter: moment,
    leaveAfter: moment,
    restoreAfter: moment,
    secondAfter: fc.option(fc.integer({ min: 0, max: 3_000 })),
    frozen: fc.integer({ min: 0, max: 20_000 }),
    seed: fc.nat(),
  });
  await fc.assert(
    fc.asyncProperty(scenario, async (moments) => {
      const fleet = startFleet(moments.seed, hosts);
      const [leaver, frozen] = hosts as [string, string];
      await fleet.publish(1);
      await fleet.clock.advance(3_000 + moments.backupAfter);
      const backup = fleet.store.backUp();
      await writeOthers(fleet, 'lost', 40);
      await fleet.clock.advance(moments.leaveAfter);
      void fleet.get(leaver).leave();
      await fleet.clock.advance(500);
      fleet.end(leaver);
      await fleet.clock.advance(moments.restoreAfter);
      const remaining = hosts.slice(1);
      await restore(fleet, remaining, backup, () => fleet.publish(2));
      if (moments.secondAfter !== null) {
        await fleet.clock.advance(moments.secondAfter);
        await restore(fleet, remaining, backup, () => fleet.publish(2));
      }
      fleet.turnedAway.set(frozen, 'silent');
      await fleet.clock.advance(moments.frozen);
      fleet.turnedAway.clear();
      await fleet.clock.advance(directoryTimes.leaseTerm + 2 * directoryTimes.renewalInterval);
      const policies = new Set(remaining.map((host) => fleet.policyRevision(host)));
      const known = new Set(remaining.map((host) => fleet.usable(host).join()));
      const recorded = await recordedHosts(fleet);
      return (
        [...policies].join() === '2' &&
        [...known].join(' ') === remaining.join() &&
        recorded.join() === remaining.join()
      );
    }),
    { seed: SEED, numRuns: 60 },
  );
  test.pass('no scenario failed');
});
