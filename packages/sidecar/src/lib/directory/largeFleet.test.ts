import type { ZoneId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import t from 'tap';

import type { DirectoryFleet } from '../testing/createDirectoryFleet';
import { createDirectoryFleet, POLICY_APPLY_MILLISECONDS } from '../testing/createDirectoryFleet';
import { directoryTimes } from './directoryTimes';

const ZONES = 8;
const NODES_PER_ZONE = 25;
const NODES = ZONES * NODES_PER_ZONE;

/** Time within which all machines start, in milliseconds. */
const START_SPREAD_MILLISECONDS = 300;

const RELAYS_PER_ZONE = 3;

const hosts = Array.from({ length: NODES }, (_, index) => `host-${index}`);
const zoneOf = (host: string): ZoneId => `zone-${Number(host.slice(5)) % ZONES}` as ZoneId;

async function startAll(fleet: DirectoryFleet, seed: number): Promise<void> {
  const random = createSeededRandom(seed);
  const starts = hosts
    .map((host) => ({ host, at: random.next() * START_SPREAD_MILLISECONDS }))
    .sort((left, right) => left.at - right.at);
  let now = 0;
  for (const { at, host } of starts) {
    await fleet.clock.advance(at - now);
    now = at;
    fleet.start(host, undefined, zoneOf(host));
  }
}

const knownCounts = (fleet: DirectoryFleet): number[] => [
  ...new Set(hosts.map((host) => fleet.usable(host).length)),
];

const betweenZones = ({ messages }: DirectoryFleet) =>
  messages.filter(({ fromZone, toZone }) => fromZone !== toZone);

const storeCalls = ({ store }: DirectoryFleet): number => {
  const { compareAndSwap, get, lease, list, remove, watch } = store.calls;
  return compareAndSwap + get + lease + list + remove + watch;
};

// Guards against a start whose messages and store calls grow with the square of the number of nodes.
void t.test('200 nodes that start together know each other within 3 s', async (test) => {
  const fleet = createDirectoryFleet(1);
  await startAll(fleet, 1);
  await fleet.clock.advance(3_000);
  test.same(knownCounts(fleet), [NODES]);
  const remote = betweenZones(fleet);
  const records = remote.reduce((sum, message) => sum + message.records, 0);
  test.ok(remote.length < 20 * NODES, `${remote.length} messages between zones`);
  test.ok(records < 60 * NODES, `${records} records between zones`);
  test.ok(storeCalls(fleet) < 6 * NODES, `${storeCalls(fleet)} store calls`);
  test.equal(fleet.followers.size, ZONES * RELAYS_PER_ZONE, 'only relays follow the policy');
});

// Guards against a change that is sent to each node of the other zones, or that some node learns late.
void t.test('a change reaches 200 nodes within half a second', async (test) => {
  const fleet = createDirectoryFleet(2);
  await startAll(fleet, 2);
  await fleet.clock.advance(5_000);
  fleet.messages.length = 0;
  fleet.get('host-7').update({ state: 'draining' });
  await fleet.clock.advance(500);
  test.same(knownCounts(fleet), [NODES - 1]);
  const remote = betweenZones(fleet);
  // Besides the change, the relays' own exchanges with other zones continue.
  const most = (RELAYS_PER_ZONE + 1) * (ZONES - 1) + ZONES * RELAYS_PER_ZONE;
  test.ok(remote.length <= most, `${remote.length} messages between zones`);
});

// Guards against a fleet that does not find itself again after all processes were killed at once.
void t.test('200 nodes that are killed and restart know each other within 1 s', async (test) => {
  const fleet = createDirectoryFleet(3);
  await startAll(fleet, 3);
  await fleet.clock.advance(5_000);
  hosts.forEach((host) => fleet.end(host));
  await fleet.clock.advance(1_000);
  await startAll(fleet, 4);
  test.equal(fleet.followers.size, NODES, 'each node reads the policy at once');
  await fleet.clock.advance(700);
  test.same(knownCounts(fleet), [NODES]);
  await fleet.clock.advance(2_000);
  test.equal(fleet.followers.size, ZONES * RELAYS_PER_ZONE, 'only relays go on following it');
});

// Guards against a node that restarts and knows no node of another zone until its next exchange.
void t.test('a node that restarts knows all others within half a second', async (test) => {
  const fleet = createDirectoryFleet(8);
  await startAll(fleet, 9);
  await fleet.clock.advance(5_000);
  fleet.end('host-12');
  await fleet.clock.advance(500);
  fleet.start('host-12', undefined, zoneOf('host-12'));
  await fleet.clock.advance(500);
  test.equal(fleet.usable('host-12').length, NODES);
});

// Guards against a fleet that needs the store to find itself again: only the nodes that kept running know the others.
void t.test('half of the nodes restart while the store is down', async (test) => {
  const fleet = createDirectoryFleet(4);
  await startAll(fleet, 5);
  await fleet.clock.advance(5_000);
  fleet.store.faults.setDown(true);
  const restarted = hosts.filter((_, index) => index % 16 < 8);
  restarted.forEach((host) => fleet.end(host));
  await fleet.clock.advance(1_000);
  restarted.forEach((host) => fleet.start(host, undefined, zoneOf(host)));
  await fleet.clock.advance(12 * directoryTimes.exchangeInterval);
  test.same(knownCounts(fleet), [NODES]);
});

// Guards against a zone that no longer learns of policies because all of its relays failed at once.
void t.test('other nodes follow the policy when the relays of a zone fail', async (test) => {
  const fleet = createDirectoryFleet(5);
  await startAll(fleet, 6);
  await fleet.clock.advance(5_000);
  const zone = zoneOf('host-0');
  const relays = [...fleet.followers].filter((host) => zoneOf(host) === zone);
  test.equal(relays.length, RELAYS_PER_ZONE);
  relays.forEach((host) => fleet.end(host));
  await fleet.clock.advance(POLICY_APPLY_MILLISECONDS);
  const others = [...fleet.followers].filter((host) => zoneOf(host) === zone);
  test.ok(others.length >= RELAYS_PER_ZONE, `${others.length} nodes follow`);
});

// Guards against a policy that stays unknown where the store refuses the relays of a zone.
void t.test('a policy that one relay has read reaches all nodes within 2 s', async (test) => {
  const fleet = createDirectoryFleet(6);
  await startAll(fleet, 7);
  await fleet.clock.advance(5_000);
  const [relay] = [...fleet.followers] as [string];
  fleet.offerPolicy(relay, 8);
  await fleet.clock.advance(2_000);
  test.same([...new Set(hosts.map((host) => fleet.policyRevision(host)))], [8]);
});

// Guards against records of removed machines that nodes pass to each other forever.
void t.test('a node that is gone is forgotten by all nodes', async (test) => {
  const fleet = createDirectoryFleet(7);
  await startAll(fleet, 8);
  await fleet.clock.advance(5_000);
  fleet.end('host-9');
  await fleet.clock.advance(directoryTimes.leaseTerm + 3 * directoryTimes.storeReadInterval);
  const remaining = hosts.filter((host) => host !== 'host-9');
  const knowing = remaining.filter((host) =>
    fleet
      .get(host)
      .livePeers()
      .some((member) => member.host === 'host-9'),
  );
  test.same(knowing, []);
});
