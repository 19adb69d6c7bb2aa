import { createFakeClock, success } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import { createMemoryStore } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createEvacuationOrders } from '../evacuation/createEvacuationOrders';
import { createPolicyWatcher } from './createPolicyWatcher';

const PREFIX = 'operator/';
const KEY = `${PREFIX}policy`;

function createWatcher() {
  const clock = createFakeClock();
  const store = createMemoryStore({ clock });
  const logger = createSilentLogger();
  const orders = createEvacuationOrders({
    clock,
    logger,
    keyPrefix: `${PREFIX}evacuate/`,
    retentionMilliseconds: 4_000,
  });
  const watcher = createPolicyWatcher({
    clock,
    store,
    key: KEY,
    prefix: PREFIX,
    evacuations: orders,
    decode: ([revision]) => success({ policy: { revision } as CallPolicy, faults: [] }),
    reportFaults: () => undefined,
    logger,
    firstConfirmationShare: () => 1,
    onChange: () => undefined,
  });
  return { clock, orders, store, watcher };
}

// Guards against a policy that counts as the newest although its node has never been told so.
void t.test(
  'the age of a policy from another node is unknown until the node is told',
  async (test) => {
    const { clock, watcher } = createWatcher();
    watcher.offer(Buffer.of(3), 'another node');
    test.equal(watcher.ageMilliseconds(), Infinity);
    watcher.learn({ revision: 3, ageMilliseconds: 400 });
    await clock.advance(100);
    test.same(watcher.knowledge(), { revision: 3, ageMilliseconds: 500 });
  },
);

// Guards against an older statement that hides a newer one, and against a superseded policy that seems confirmed.
void t.test('the newest statement on the newest policy counts', async (test) => {
  const { watcher } = createWatcher();
  watcher.offer(Buffer.of(3), 'another node');
  watcher.learn({ revision: 3, ageMilliseconds: 400 });
  watcher.learn({ revision: 3, ageMilliseconds: 900 });
  watcher.learn({ revision: 2, ageMilliseconds: 0 });
  test.equal(watcher.ageMilliseconds(), 400);
  watcher.learn({ revision: 4, ageMilliseconds: 100 });
  test.equal(watcher.ageMilliseconds(), Infinity);
  watcher.offer(Buffer.of(4), 'another node');
  test.equal(watcher.ageMilliseconds(), 100);
});

// Guards against a wrong revision of another node that makes the policy look outdated for good.
void t.test('what the store says overrides what another node has said', async (test) => {
  const { clock, store, watcher } = createWatcher();
  await store.compareAndSwap(KEY, 0, Buffer.of(3));
  watcher.learn({ revision: 9, ageMilliseconds: 0 });
  watcher.setFollowing(true);
  await clock.advance(10);
  test.same(watcher.knowledge(), { revision: 3, ageMilliseconds: 10 });
  watcher.close();
});

// Guards against a relay that was suspended and says what it knew before as if no time had passed.
void t.test('knowledge ages while the host is suspended', async (test) => {
  const { clock, watcher } = createWatcher();
  watcher.offer(Buffer.of(3), 'another node');
  watcher.learn({ revision: 3, ageMilliseconds: 100 });
  clock.stepWallClock(5_000);
  test.equal(watcher.ageMilliseconds(), 5_100);
  watcher.learn({ revision: 3, ageMilliseconds: 200 });
  test.equal(watcher.ageMilliseconds(), 200);
  clock.stepWallClock(-5_000);
  test.equal(watcher.ageMilliseconds(), 200);
});

// Guards against a restored store that makes a lost policy look as if it had never existed.
void t.test('a restored store does not confirm an older policy than a known one', async (test) => {
  const { clock, store, watcher } = createWatcher();
  const backup = store.backUp();
  await store.compareAndSwap(KEY, 0, Buffer.of(3));
  watcher.setFollowing(true);
  await clock.advance(10);
  test.equal(watcher.ageMilliseconds(), 10);
  store.restore(backup);
  await clock.advance(10);
  test.equal(watcher.ageMilliseconds(), 20, 'the store has no policy any more');
  watcher.learn({ revision: 4, ageMilliseconds: 0 });
  store.restore(backup);
  await store.compareAndSwap(KEY, 0, Buffer.of(3));
  await clock.advance(10);
  test.equal(watcher.ageMilliseconds(), Infinity, 'the newest one is missing');
  const current = await store.get(KEY);
  await store.compareAndSwap(KEY, (current.ok && current.value?.revision) || 0, Buffer.of(5));
  watcher.setFollowing(true);
  await clock.advance(0);
  test.same(watcher.knowledge(), { revision: 5, ageMilliseconds: 0 });
  watcher.close();
});

// Guards against a node that starts after a restore, reads the older policy, and lets it confirm the newer one of another node.
void t.test('an older policy in the store does not confirm one of another node', async (test) => {
  const { clock, store, watcher } = createWatcher();
  await store.compareAndSwap(KEY, 0, Buffer.of(3));
  watcher.setFollowing(true);
  await clock.advance(10);
  watcher.offer(Buffer.of(4), 'another node');
  store.faults.setDown(true);
  store.faults.setDown(false);
  await clock.advance(10);
  test.equal(watcher.ageMilliseconds(), Infinity);
  watcher.close();
});

// Guards against a listing that is delayed and hides, until the next policy, that the store confirms the current one.
void t.test('a late listing does not replace what the store has said since', async (test) => {
  const { clock, store, watcher } = createWatcher();
  await store.compareAndSwap(KEY, 0, Buffer.of(3));
  const { list } = store;
  let isDelayed = true;
  Object.assign(store, {
    list: async (prefix: string) => {
      const delayMilliseconds = isDelayed ? 500 : 0;
      isDelayed = false;
      const result = await list(prefix);
      await clock.sleep(delayMilliseconds);
      return result;
    },
  });
  watcher.refresh();
  await clock.advance(10);
  watcher.setFollowing(true);
  await clock.advance(10);
  const current = await store.get(KEY);
  await store.compareAndSwap(KEY, (current.ok && current.value?.revision) || 0, Buffer.of(4));
  await clock.advance(600);
  store.faults.setDown(true);
  store.faults.setDown(false);
  await clock.advance(10);
  test.same(watcher.knowledge(), { revision: 4, ageMilliseconds: 10 });
  watcher.close();
});
