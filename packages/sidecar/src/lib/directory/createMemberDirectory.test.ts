import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { createMemoryStore } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createMemberDirectory } from './createMemberDirectory';
import { directoryTimes } from './directoryTimes';
import type { MemberDirectory } from './MemberDirectory';

const SERVICE = 'service' as ServiceId;

/** Time until a node is found again by the others, in milliseconds: some rounds of comparisons. */
const REDISCOVERY_MILLISECONDS = 4 * directoryTimes.exchangeInterval;

function createMember(host: string, incarnation: number): Member {
  return {
    host: host as HostId,
    incarnation: incarnation as Incarnation,
    version: 1,
    service: SERVICE,
    region: 'region' as RegionId,
    zone: 'zone' as ZoneId,
    peerAddress: host,
    controlAddress: host,
    slots: 10,
    connections: 10,
    state: 'ready',
    alive: true,
  };
}

function createFleet(seed: number) {
  const clock = createFakeClock();
  const random = createSeededRandom(seed);
  const store = createMemoryStore({ clock });
  const directories = new Map<string, MemberDirectory>();
  /** Nodes that get no messages. */
  const unreachable = new Set<string>();
  let incarnation = 0;

  const start = (host: string, ownIncarnation = (incarnation += 1)): MemberDirectory => {
    const directory = createMemberDirectory({
      self: createMember(host, ownIncarnation),
      clock,
      random,
      store,
      peers: {
        exchange: async (address, message) =>
          unreachable.has(address) ? undefined : directories.get(address)?.receive(message),
      },
      logger: createSilentLogger(),
      policyRevision: () => 0,
      onNewerPolicy: () => undefined,
    });
    directories.set(host, directory);
    directory.start();
    return directory;
  };
  const end = (host: string): void => {
    directories.get(host)?.close();
    directories.delete(host);
  };
  /** Hosts that a node takes for alive and ready, in order. */
  const usable = (host: string): string[] =>
    (directories.get(host)?.members(SERVICE) ?? [])
      .filter(({ alive, state }) => alive && state === 'ready')
      .map((member) => member.host)
      .sort();
  const get = (host: string): MemberDirectory => directories.get(host) as MemberDirectory;
  return { clock, store, unreachable, start, end, usable, get };
}

const HOSTS = ['a', 'b', 'c', 'd'];

// Guards against nodes that start at the same time and miss each other's records.
void t.test('nodes that start together know each other within a second', async (test) => {
  const fleet = createFleet(1);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(1_000);
  HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, host));
});

// Guards against nodes that start without the store and stay alone after it has come back.
void t.test('nodes that start while the store is away meet when it is back', async (test) => {
  const fleet = createFleet(2);
  fleet.store.faults.setDown(true);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(8_000);
  fleet.store.faults.setDown(false);
  await fleet.clock.advance(2_000);
  HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, host));
});

// Guards against records that end with their leases during a long outage and are not written again.
void t.test('a record that lapsed while the store was away is back in 2 s', async (test) => {
  const fleet = createFleet(3);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(2_000);
  fleet.store.faults.setDown(true);
  await fleet.clock.advance(2 * directoryTimes.leaseTerm);
  fleet.store.faults.setDown(false);
  await fleet.clock.advance(2_000);
  const listing = await fleet.store.list('buckthornslip/nodes/');
  test.equal(listing.ok && listing.value.entries.length, HOSTS.length);
  HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, host));
});

// Guards against a node that knows nobody after its restart and that nobody looks for.
void t.test('a node that restarts while the store is away is found', async (test) => {
  for (const pause of [200, 10_000, 25_000]) {
    const fleet = createFleet(4);
    HOSTS.forEach((host) => fleet.start(host));
    await fleet.clock.advance(2_000);
    fleet.store.faults.setDown(true);
    fleet.end('a');
    await fleet.clock.advance(pause);
    fleet.start('a');
    await fleet.clock.advance(REDISCOVERY_MILLISECONDS);
    HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, `${host} after ${pause} ms`));
  }
});

// Guards against the same after a stop in good order: the others know the node as one that has left.
void t.test('a node that left and restarts while the store is away is found', async (test) => {
  for (const pause of [200, 10_000, 25_000]) {
    const fleet = createFleet(5);
    HOSTS.forEach((host) => fleet.start(host));
    await fleet.clock.advance(2_000);
    fleet.store.faults.setDown(true);
    await fleet.get('a').leave();
    test.same(fleet.usable('b'), ['b', 'c', 'd']);
    fleet.end('a');
    await fleet.clock.advance(pause);
    fleet.start('a');
    await fleet.clock.advance(REDISCOVERY_MILLISECONDS);
    HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, `${host} after ${pause} ms`));
  }
});

// Guards against a clock that was set back between two starts: the records of the new process look older than the old ones.
void t.test('a node that restarts with a lower incarnation is used again', async (test) => {
  const fleet = createFleet(7);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(2_000);
  await fleet.get('b').leave();
  fleet.end('b');
  await fleet.clock.advance(500);
  fleet.start('b', 0);
  await fleet.clock.advance(1_000);
  HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, host));
});

// Guards against a dead node that is called for ever, and against its record after the store has lost it.
void t.test('a dead node is avoided once suspected and forgotten later', async (test) => {
  const fleet = createFleet(6);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(2_000);
  fleet.end('a');
  fleet.get('b').suspect('a' as HostId);
  await fleet.clock.advance(100);
  test.same(fleet.usable('b'), ['b', 'c', 'd']);
  await fleet.clock.advance(directoryTimes.leaseTerm + 2 * directoryTimes.storeReadInterval);
  test.notOk(
    fleet
      .get('b')
      .members(SERVICE)
      .some(({ host }) => host === 'a'),
  );
});

// Guards against a node that missed a change and learns it only when the two happen to compare their tables.
void t.test('a missed change is learnt as soon as the node is asked', async (test) => {
  const fleet = createFleet(8);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(2_000);
  fleet.unreachable.add('a');
  fleet.get('b').update({ state: 'starting' });
  await fleet.clock.advance(100);
  fleet.unreachable.delete('a');
  test.same(fleet.usable('a'), HOSTS);
  fleet.get('a').suspect('b' as HostId);
  await fleet.clock.advance(100);
  test.same(fleet.usable('a'), ['a', 'c', 'd']);
});
