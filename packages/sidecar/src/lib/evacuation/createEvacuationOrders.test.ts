import type { ZoneId } from '@buckthornslip/common';
import { createFakeClock, failure, success } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import type { MemoryStore, Store } from '@buckthornslip/platform';
import { createMemoryStore, NO_STORE_ERA } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createPolicyWatcher } from '../policy/createPolicyWatcher';
import { createEvacuationOrders } from './createEvacuationOrders';
import type { EvacuationStatement } from './EvacuationStatement';

const PREFIX = 'operator/';
const ORDERS = `${PREFIX}evacuate/`;
const RETENTION_MILLISECONDS = 4_000;

const statement = (era: number, revision: number, ...zones: string[]): EvacuationStatement => ({
  era,
  revision,
  zones: new Set(zones as ZoneId[]),
});

/** A policy watcher with its orders, on a store whose calls a test may change. */
function createFollower(changeStore: (store: MemoryStore) => Store = (store) => store) {
  const clock = createFakeClock();
  const store = createMemoryStore({ clock });
  const logger = createSilentLogger();
  const orders = createEvacuationOrders({
    clock,
    logger,
    keyPrefix: ORDERS,
    retentionMilliseconds: RETENTION_MILLISECONDS,
  });
  const watcher = createPolicyWatcher({
    clock,
    store: changeStore(store),
    key: `${PREFIX}policy`,
    prefix: PREFIX,
    evacuations: orders,
    decode: ([revision]) => success({ policy: { revision } as CallPolicy, faults: [] }),
    reportFaults: () => undefined,
    logger,
    firstConfirmationShare: () => 1,
    onChange: () => undefined,
  });
  return { clock, orders, store, watcher, zones: () => [...orders.zones()].sort() };
}

async function write(store: Store, zone: string, isOrdered: boolean): Promise<void> {
  const key = `${ORDERS}${zone}`;
  const current = await store.get(key);
  const revision = current.ok ? (current.value?.revision ?? 0) : 0;
  if (isOrdered) await store.compareAndSwap(key, revision, Buffer.from('x'));
  else await store.remove(key, revision);
}

// Guards against orders that are missed, or that do not end, while the store is followed; also if the watch's history is lost.
void t.test('put, removal and relisting', async (test) => {
  const { clock, orders, store, watcher, zones } = createFollower();
  test.equal(orders.statement(), undefined);
  await write(store, 'a', true);
  watcher.setFollowing(true);
  await clock.advance(10);
  test.same(zones(), ['a']);
  await write(store, 'b', true);
  await clock.advance(10);
  test.same(zones(), ['a', 'b']);
  await write(store, 'a', false);
  await clock.advance(10);
  test.same(zones(), ['b']);
  store.faults.setDown(true);
  await clock.advance(10);
  test.same(zones(), ['b'], 'known orders stay in force without the store');
  store.faults.setDown(false);
  watcher.setFollowing(false);
  await write(store, 'b', false);
  await write(store, 'c', true);
  test.same(zones(), ['b'], 'a node that follows neither store nor relay keeps its orders');
  watcher.setFollowing(true);
  await clock.advance(10);
  test.same(zones(), ['c']);
  await write(store, 'd', true);
  await write(store, 'c', false);
  store.compact(1_000);
  store.faults.setDown(true);
  store.faults.setDown(false);
  await clock.advance(10);
  test.same(zones(), ['d']);
  watcher.close();
  orders.close();
});

// Guards against an order, or a policy, that is written or removed between the first read and the watch.
void t.test('changes between the read and the watch are not missed', async (test) => {
  const { clock, store, watcher, zones } = createFollower((inner) => ({
    ...inner,
    list: async (...input) => {
      const listing = await inner.list(...input);
      await write(inner, 'a', false);
      await write(inner, 'b', true);
      await inner.compareAndSwap(`${PREFIX}policy`, 0, Buffer.of(3));
      return listing;
    },
  }));
  await write(store, 'a', true);
  watcher.setFollowing(true);
  await clock.advance(10);
  test.same(zones(), ['b']);
  test.equal(watcher.current()?.revision, 3);
  watcher.close();
});

// Guards against a node that serves with a policy and without knowing the orders, after its only read has failed.
void t.test('a read is repeated until the orders are known', async (test) => {
  let failures = 3;
  const { clock, orders, store, watcher } = createFollower((inner) => ({
    ...inner,
    list: (...input) => {
      failures -= 1;
      return failures < 0 ? inner.list(...input) : Promise.resolve(failure({ kind: 'timeout' }));
    },
  }));
  await write(store, 'a', true);
  watcher.refresh();
  await clock.advance(1_000);
  test.equal(orders.statement(), undefined);
  await clock.advance(1_000);
  test.ok(orders.statement()?.zones.has('a' as ZoneId));
  watcher.close();
});

// Guards against a late statement, or a late event, that restores an earlier set of zones.
void t.test('the newest revision counts, from whichever node', async (test) => {
  const { clock, orders, store, watcher, zones } = createFollower();
  watcher.setFollowing(true);
  await clock.advance(10);
  orders.learn(statement(0, 50, 'a'), 'node');
  orders.learn(statement(0, 40), 'node');
  orders.learn(statement(0, 50), 'node');
  test.same(zones(), ['a']);
  await write(store, 'b', true);
  await clock.advance(10);
  test.same(zones(), ['a'], 'the statement of revision 50 contains the event');
  watcher.setFollowing(false);
  watcher.setFollowing(true);
  await clock.advance(10);
  test.same(zones(), ['b'], 'a later read shows that revision 50 was wrong');
  watcher.close();
});

// Guards against calls in an evacuated zone because a restored store lacks the order for a moment.
void t.test('an order of an earlier era stays in force for a time', async (test) => {
  const { clock, orders, zones } = createFollower();
  orders.learn(statement(0, 90, 'a', 'b'), 'node');
  orders.learn(statement(1, 5), 'node');
  await clock.advance(RETENTION_MILLISECONDS - 100);
  test.same(zones(), ['a', 'b']);
  orders.learn(statement(1, 6, 'a'), 'node');
  orders.learn(statement(1, 7), 'node');
  await clock.advance(10);
  test.same(zones(), ['b'], 'an order that was written again ends when it is removed');
  await clock.advance(100);
  test.same(zones(), []);
});

// Guards against an incomplete set that is sent with the revision of the complete one, which then is not accepted.
void t.test('changes of one response are published together', async (test) => {
  const { clock, orders } = createFollower();
  const published: string[][] = [];
  orders.changes.subscribe((zones) => published.push([...zones]));
  const entry = (zone: string, revision: number) =>
    ({ key: `${ORDERS}${zone}`, value: Buffer.from('x'), revision }) as never;
  const era = NO_STORE_ERA;
  orders.replace({ entries: [], revision: 1 as never, era });
  orders.apply({ kind: 'put', entry: entry('a', 2), era });
  orders.apply({ kind: 'put', entry: entry('b', 2), era });
  await clock.advance(1);
  test.same(published, [['a', 'b']]);
});

// Guards against a policy that is not read, or a zone that is guessed, because of a key that is no order.
void t.test('keys without a readable name are ignored and counted', async (test) => {
  const { clock, orders, store, watcher, zones } = createFollower();
  await write(store, '', true);
  await write(store, 'a/b', true);
  await write(store, 'a', true);
  await store.compareAndSwap(`${PREFIX}evacuated`, 0, Buffer.of(1));
  watcher.setFollowing(true);
  await clock.advance(10);
  test.same(zones(), ['a']);
  test.equal(orders.unreadableKeys(), 2);
  await write(store, 'b c', true);
  await write(store, '', false);
  await clock.advance(10);
  test.same(zones(), ['a']);
  test.equal(orders.unreadableKeys(), 2);
  watcher.close();
});
