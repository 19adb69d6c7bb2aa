import type { ZoneId } from '@buckthornslip/common';
import t from 'tap';

import type { DirectoryFleet } from '../testing/createDirectoryFleet';
import { createDirectoryFleet } from '../testing/createDirectoryFleet';

/** Time within which orders must be in force on nodes that can reach the store, less the time to read it, in milliseconds. */
const ORDER_MILLISECONDS = 5_000 - 300;

const SEED = 20_261_206;
const ZONES = 4;
const NODES = 16;
const ZONE = 'zone-1';

const hosts = Array.from({ length: NODES }, (_, index) => `host-${index}`);
const zoneOf = (host: string): ZoneId => `zone-${Number(host.slice(5)) % ZONES}` as ZoneId;

async function startFleet(): Promise<DirectoryFleet> {
  const fleet = createDirectoryFleet(SEED);
  hosts.forEach((host) => fleet.start(host, undefined, zoneOf(host)));
  await fleet.publish(1);
  await fleet.clock.advance(5_000);
  return fleet;
}

const relaysOf = (fleet: DirectoryFleet): string[] =>
  [...fleet.followers].filter((host) => zoneOf(host) === ZONE);

/** @returns Hosts, of those that a test does not exclude, that know something else. */
const wrongHosts = (
  fleet: DirectoryFleet,
  zones: readonly string[],
  excluded: Pick<Set<string>, 'has'> = new Set(),
): string[] =>
  hosts.filter(
    (host) =>
      !excluded.has(host) && JSON.stringify(fleet.evacuated(host)) !== JSON.stringify(zones),
  );

// Guards against nodes that do not learn the start or the end of an evacuation, and against orders that need more store calls.
void t.test('orders reach all nodes at once, through the relays', async (test) => {
  const fleet = await startFleet();
  const followers = [...fleet.followers].sort();
  test.same(wrongHosts(fleet, []), [], 'all nodes know that there are none');
  await fleet.setEvacuated(ZONE, true);
  await fleet.clock.advance(500);
  test.same(wrongHosts(fleet, [ZONE]), []);
  await fleet.clock.advance(20_000);
  await fleet.setEvacuated(ZONE, false);
  await fleet.clock.advance(500);
  test.same(wrongHosts(fleet, []), []);
  test.same([...fleet.followers].sort(), followers);
});

/** Disturbances of the relays of one zone, which the fleet has to do without. */
const disturbances: Readonly<
  Record<string, (fleet: DirectoryFleet, relays: readonly string[]) => void>
> = {
  'relays fail': (fleet, relays) => relays.forEach((host) => fleet.unreachable.add(host)),
  'relays end': (fleet, relays) => relays.forEach(fleet.end),
  'the store refuses relays': (fleet, relays) =>
    relays.forEach((host) => fleet.turnedAway.set(host, 'refused')),
  'relays get no answer of the store': (fleet, relays) =>
    relays.forEach((host) => fleet.turnedAway.set(host, 'silent')),
};

// Guards against an evacuation that starts or ends late, or not at all, because the relays of a zone fail or lose the store.
Object.entries(disturbances).forEach(([name, disturb]) => {
  void t.test(`${name} before an order`, async (test) => {
    for (const isOrdered of [true, false]) {
      for (const pause of [0, 700, 1_900]) {
        const fleet = await startFleet();
        if (!isOrdered) await fleet.setEvacuated(ZONE, true);
        await fleet.clock.advance(3_000 + pause);
        const relays = new Set(relaysOf(fleet));
        disturb(fleet, [...relays]);
        await fleet.clock.advance(pause);
        await fleet.setEvacuated(ZONE, isOrdered);
        await fleet.clock.advance(ORDER_MILLISECONDS);
        test.same(wrongHosts(fleet, isOrdered ? [ZONE] : [], relays), [], `${isOrdered}, ${pause}`);
      }
    }
  });
});

// Guards against an outage of the store that ends an evacuation, and against an order that is late after it.
void t.test('orders stay in force while the store is away', async (test) => {
  const fleet = await startFleet();
  await fleet.setEvacuated(ZONE, true);
  await fleet.clock.advance(1_000);
  hosts.forEach((host) => fleet.turnedAway.set(host, 'silent'));
  await fleet.clock.advance(60_000);
  test.same(wrongHosts(fleet, [ZONE]), []);
  fleet.turnedAway.clear();
  await fleet.setEvacuated(ZONE, false);
  await fleet.clock.advance(ORDER_MILLISECONDS);
  test.same(wrongHosts(fleet, []), []);
});

// Guards against a node that is cut off and serves again, and that does not learn the end of the evacuation afterwards.
void t.test('a node that is cut off keeps its orders and catches up later', async (test) => {
  const fleet = await startFleet();
  await fleet.setEvacuated(ZONE, true);
  await fleet.clock.advance(1_000);
  const cut = hosts.find((host) => zoneOf(host) === ZONE && !fleet.followers.has(host)) as string;
  fleet.unreachable.add(cut);
  fleet.turnedAway.set(cut, 'refused');
  await fleet.clock.advance(2_000);
  await fleet.setEvacuated(ZONE, false);
  await fleet.clock.advance(60_000);
  test.same(wrongHosts(fleet, [], new Set([cut])), []);
  test.same(fleet.evacuated(cut), [ZONE]);
  fleet.unreachable.delete(cut);
  await fleet.clock.advance(ORDER_MILLISECONDS);
  test.same(wrongHosts(fleet, []), [], 'relays tell it, without the store');
});

// Guards against a node that serves after its restart in an evacuated zone, with and without the store.
void t.test('a restarted node knows the orders before it can serve', async (test) => {
  for (const isStoreAway of [false, true]) {
    const fleet = await startFleet();
    await fleet.setEvacuated(ZONE, true);
    await fleet.clock.advance(1_000);
    if (isStoreAway) hosts.forEach((host) => fleet.turnedAway.set(host, 'silent'));
    const [restarted] = hosts.filter((host) => zoneOf(host) === ZONE) as [string];
    fleet.end(restarted);
    await fleet.clock.advance(500);
    fleet.start(restarted, undefined, ZONE as ZoneId);
    let steps = 0;
    for (; fleet.policyRevision(restarted) === 0 && steps < 2_000; steps += 1) {
      const known = fleet.evacuated(restarted);
      test.ok(known === undefined || known.length === 1, 'no empty set before the policy');
      await fleet.clock.advance(10);
    }
    test.ok(steps < 2_000, `policy after ${steps} steps`);
    test.same(fleet.evacuated(restarted), [ZONE]);
  }
});
