import type { HostId, UpstreamId } from '@buckthornslip/common';
import t from 'tap';

import { createDirectoryFleet, TEST_SERVICE as SERVICE } from '../testing/createDirectoryFleet';
import { directoryTimes } from './directoryTimes';

/** Time until the others rediscover a node, in milliseconds: several rounds of exchanges. */
const REDISCOVERY_MILLISECONDS = 8 * directoryTimes.exchangeInterval;

const HOSTS = ['a', 'b', 'c', 'd'];

// Guards against nodes that start at the same time and don't read each other's records.
void t.test('nodes that start together know each other within a second', async (test) => {
  const fleet = createDirectoryFleet(1);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(1_000);
  HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, host));
});

// Guards against nodes that start during a store outage and don't discover each other after it.
void t.test('nodes that start during a store outage discover each other after it', async (test) => {
  const fleet = createDirectoryFleet(2);
  fleet.store.faults.setDown(true);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(8_000);
  fleet.store.faults.setDown(false);
  await fleet.clock.advance(2_000);
  HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, host));
});

// Guards against records whose leases expire during a long outage and that are not written again.
void t.test('a record that expired during a store outage is restored within 2 s', async (test) => {
  const fleet = createDirectoryFleet(3);
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

// Guards against a node that knows no other node after its restart and is not contacted by the others.
void t.test('a node that restarts during a store outage is rediscovered', async (test) => {
  for (const pause of [200, 10_000, 25_000]) {
    const fleet = createDirectoryFleet(4);
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

// Guards against the same failure after a graceful shutdown: the others know the node as departed.
void t.test('a node that left and restarts during a store outage is rediscovered', async (test) => {
  for (const pause of [200, 10_000, 25_000]) {
    const fleet = createDirectoryFleet(5);
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

// Guards against ignoring a node whose clock was set back between two starts: its new records look older than its old
// ones.
void t.test('a node that restarts with a lower incarnation is accepted', async (test) => {
  const fleet = createDirectoryFleet(7);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(2_000);
  await fleet.get('b').leave();
  fleet.end('b');
  await fleet.clock.advance(500);
  fleet.start('b', 0);
  await fleet.clock.advance(1_000);
  HOSTS.forEach((host) => test.same(fleet.usable(host), HOSTS, host));
});

// Guards against calling a dead node indefinitely, and against keeping its record after the store has removed it.
void t.test('a dead node is excluded once suspected and removed later', async (test) => {
  const fleet = createDirectoryFleet(6);
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

// Guards against a node that missed a change and receives it only with the next random exchange.
void t.test('a missed change is applied as soon as the node is suspected', async (test) => {
  const fleet = createDirectoryFleet(8);
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

// Guards against a restarted node that uses an upstream again whose departure its earlier process acknowledged.
void t.test('a node that restarts is told of the departure of its upstream', async (test) => {
  const fleet = createDirectoryFleet(9);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(2_000);
  const departure = { id: 'i-1' as UpstreamId, startedMilliseconds: 100, state: 'left' } as const;
  fleet.get('b').update({ state: 'left', departure });
  await fleet.clock.advance(100);
  fleet.end('b');
  await fleet.clock.advance(300);
  fleet.start('b');
  await fleet.clock.advance(300);
  test.same(fleet.earlierDepartures.get('b'), departure);
  test.equal(fleet.earlierDepartures.has('a'), false);
});
