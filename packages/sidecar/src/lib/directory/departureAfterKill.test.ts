import type { UpstreamId, ZoneId } from '@buckthornslip/common';
import type { MemberDeparture } from '@buckthornslip/membership';
import t from 'tap';

import { createDirectoryFleet } from '../testing/createDirectoryFleet';

const SEED = 20_261_207;

const HOSTS = ['a', 'b', 'c'];

const DRAINING: MemberDeparture = {
  id: 'i-1' as UpstreamId,
  startedMilliseconds: 100,
  state: 'draining',
};

const LEFT: MemberDeparture = { ...DRAINING, state: 'left' };

/** Longest time for which the acknowledgement of a departure may wait for the store, in milliseconds. */
const ACKNOWLEDGEMENT_MILLISECONDS = 1_000;

async function startFleet() {
  const fleet = createDirectoryFleet(SEED);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(2_000);
  const killAll = async (downMilliseconds: number): Promise<void> => {
    HOSTS.forEach(fleet.end);
    await fleet.clock.advance(downMilliseconds);
  };
  return { fleet, killAll };
}

// Guards against a departed upstream that is used again because all processes that knew of its departure were killed.
void t.test('a departure outlives the end of all processes', async (test) => {
  for (const departure of [DRAINING, LEFT]) {
    const { fleet, killAll } = await startFleet();
    fleet.get('b').update({ state: departure.state, departure });
    await fleet.clock.advance(300);
    await killAll(700);
    HOSTS.forEach((host) => fleet.start(host));
    await fleet.clock.advance(300);
    test.same(fleet.earlierDepartures.get('b'), departure, departure.state);
    test.equal(fleet.earlierDepartures.has('a'), false);
    HOSTS.forEach(fleet.end);
  }
});

// Guards against the same after a second kill, when the record is that of a process which had only been told of the departure.
void t.test('a departure outlives the end of all processes twice', async (test) => {
  const { fleet, killAll } = await startFleet();
  fleet.get('b').update({ state: 'left', departure: LEFT });
  await fleet.clock.advance(300);
  for (let kills = 0; kills < 2; kills += 1) {
    await killAll(700);
    fleet.earlierDepartures.clear();
    HOSTS.forEach((host) => fleet.start(host));
    await fleet.clock.advance(1_500);
  }
  test.same(fleet.earlierDepartures.get('b'), LEFT);
});

// Guards against a departure that is lost because the store was away when it was acknowledged, and was restored from a backup.
void t.test('a departure is saved when the store is back', async (test) => {
  const { fleet, killAll } = await startFleet();
  const backup = fleet.store.backUp();
  fleet.turnedAway.set('b', 'refused');
  fleet.get('b').update({ state: 'left', departure: LEFT });
  await fleet.clock.advance(3_000);
  fleet.store.restore(backup);
  fleet.turnedAway.clear();
  await fleet.clock.advance(10_000);
  await killAll(700);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(300);
  test.same(fleet.earlierDepartures.get('b'), LEFT);
});

// Guards against a node that contacts a restarted one, replaces its record and does not tell it of the departure.
void t.test('a node that sends first tells of the departure', async (test) => {
  const fleet = createDirectoryFleet(SEED);
  fleet.start('a', undefined, 'east' as ZoneId);
  fleet.start('b', undefined, 'west' as ZoneId);
  await fleet.clock.advance(2_000);
  fleet.get('b').update({ state: 'left', departure: LEFT });
  await fleet.clock.advance(100);
  fleet.end('b');
  // The restarted node reads nothing in the store and knows no other node, so it can't send first.
  fleet.turnedAway.set('b', 'refused');
  fleet.start('b', undefined, 'west' as ZoneId);
  await fleet.clock.advance(3_000);
  test.same(fleet.earlierDepartures.get('b'), LEFT);
});

// Guards against a write to the store for each announcement of a draining upstream.
void t.test('a departure is written to the store once', async (test) => {
  const { fleet } = await startFleet();
  const before = fleet.store.calls.compareAndSwap;
  fleet.get('b').update({ state: 'draining', departure: DRAINING });
  await fleet.clock.advance(1_500);
  fleet.get('b').update({ state: 'draining', departure: DRAINING });
  await fleet.clock.advance(1_500);
  fleet.get('b').update({ state: 'left', departure: LEFT });
  await fleet.clock.advance(1_500);
  test.equal(fleet.store.calls.compareAndSwap - before, 1);
});

// Guards against an acknowledgement that waits for a store that is away, so that the upstream never gets it.
void t.test('an acknowledgement waits for the store for a limited time', async (test) => {
  const { fleet } = await startFleet();
  const whenSaved = async (): Promise<{ readonly isSaved: boolean; readonly after: number }> => {
    const started = fleet.clock.monotonicMilliseconds();
    let result: { readonly isSaved: boolean; readonly after: number } | undefined;
    void fleet
      .get('b')
      .whenDepartureSaved()
      .then((isSaved) => {
        result = { isSaved, after: fleet.clock.monotonicMilliseconds() - started };
      });
    await fleet.clock.advance(ACKNOWLEDGEMENT_MILLISECONDS);
    return result ?? { isSaved: false, after: Infinity };
  };
  test.same(await whenSaved(), { isSaved: true, after: 0 }, 'there is no departure');
  fleet.turnedAway.set('b', 'silent');
  fleet.get('b').update({ state: 'left', departure: LEFT });
  const away = await whenSaved();
  test.equal(away.isSaved, false);
  test.ok(away.after < ACKNOWLEDGEMENT_MILLISECONDS, `${away.after} ms`);
  fleet.turnedAway.clear();
  await fleet.clock.advance(5_000);
  test.same(await whenSaved(), { isSaved: true, after: 0 }, 'the store is back');
});
