import type { AccountId, KeyId } from '@buckthornslip/common';
import { createSeededRandom, createSystemClock } from '@buckthornslip/common';
import { createPublisher, digestKey } from '@buckthornslip/distribution';
import t from 'tap';

import type { InjectedOutcome } from '../testing/createFakeStore';
import { createFakeStore } from '../testing/createFakeStore';
import { testManifest } from '../testing/testManifest';
import { readHead } from '../store/readHead';
import { readKeyLog } from '../store/readKeyLog';

const account = 'jelgava' as AccountId;
const options = {
  clock: { ...createSystemClock(), sleep: () => Promise.resolve() },
  fleetSecret: 'secret-of-the-test-fleet',
};

/** A publisher and its store. The next writes of the head have the outcomes pushed to `outcomes`. */
function createTestPublisher() {
  const outcomes: InjectedOutcome[] = [];
  const delayedEffects: (() => void)[] = [];
  const store = createFakeStore(
    (call) => (call === 'swap config/head' ? (outcomes.shift() ?? 'works') : 'works'),
    (effect) => delayedEffects.push(effect),
  );
  return { store, outcomes, delayedEffects, publisher: createPublisher(store, options) };
}

void t.test('publishes and reads a manifest, grants and withdraws keys', async (test) => {
  const { publisher } = createTestPublisher();
  test.match(await publisher.grantKey(account), {
    result: { kind: 'not-published', refusal: { kind: 'manifest-missing' } },
  });
  test.match(await publisher.publishManifest(testManifest('1')), {
    kind: 'published',
    revision: 1,
  });
  const granted = await publisher.grantKey(account);
  test.match(granted.result, { kind: 'published', revision: 2 });
  test.match(await publisher.withdrawKey(granted.keyId), { revision: 3, isUnchanged: false });
  test.match(await publisher.withdrawKey(granted.keyId), { revision: 3, isUnchanged: true });
  test.match(await publisher.read(), {
    value: {
      revision: 3,
      manifestText: testManifest('1'),
      keys: [{ account, state: 'withdrawn' }],
    },
  });
  test.match(await publisher.grantKey('nobody' as AccountId), {
    result: { refusal: { kind: 'account-unknown' } },
  });
  test.match(await publisher.withdrawKey('none' as KeyId), { refusal: { kind: 'key-unknown' } });
});

void t.test('only the digest of a key is stored', async (test) => {
  const { store, publisher } = createTestPublisher();
  await publisher.publishManifest(testManifest('1'));
  const { key } = await publisher.grantKey(account);
  const stored = await readHead(store);
  if (!stored.ok || stored.value === undefined) throw new Error('no head');
  const log = await readKeyLog(store, stored.value.head);
  test.match(log, { value: [[{ digest: digestKey(key) }]] });
  test.notMatch(JSON.stringify(log), key);
});

void t.test('a required revision that is not current is a conflict', async (test) => {
  const { publisher } = createTestPublisher();
  await publisher.publishManifest(testManifest('1'), 0);
  const result = await publisher.publishManifest(testManifest('2'), 0);
  test.same(result, { kind: 'conflict', currentRevision: 1 });
});

void t.test('a publication whose response was lost is not reported as a conflict', async (test) => {
  const { outcomes, publisher } = createTestPublisher();
  outcomes.push('response-lost');
  test.match(await publisher.publishManifest(testManifest('1')), { kind: 'published' });
  outcomes.push('response-lost', 'response-lost', 'response-lost', 'response-lost');
  test.match(await publisher.publishManifest(testManifest('2')), { kind: 'published' });
});

void t.test(
  'a write that may still take effect is reported as unknown, not as a conflict',
  async (test) => {
    const { store, outcomes, delayedEffects, publisher } = createTestPublisher();
    await publisher.publishManifest(testManifest('1'));
    outcomes.push('late', 'lost', 'lost', 'lost');
    const result = await publisher.publishManifest(testManifest('2'));
    test.match(result, { kind: 'unknown', revision: 2 });
    delayedEffects.forEach((effect) => effect());
    test.equal(store.heads.length, 2, 'the write took effect after the report');
  },
);

void t.test(
  'only parts of the current and the most recent revisions stay in the store',
  async (test) => {
    const { store, publisher } = createTestPublisher();
    for (let release = 1; release <= 20; release += 1) {
      await publisher.publishManifest(testManifest(String(release)));
      await publisher.grantKey(account);
    }
    test.ok(store.values.size <= 8, `${store.values.size} values`);
    test.match(await publisher.read(), { value: { revision: 40 } });
  },
);

void t.test('a large manifest is split into values well under 1 MB', async (test) => {
  const { store, publisher } = createTestPublisher();
  const random = createSeededRandom(1);
  const noise = Array.from({ length: 20_000 }, () => `# ${random.next().toString(36)}`).join('\n');
  const text = `${testManifest('large')}${noise}`;
  await publisher.publishManifest(text);
  const sizes = [...store.values.values()].map(({ value }) => value.length);
  test.ok(Math.max(...sizes) <= 256 * 1024);
  test.ok(sizes.length > 1);
  test.match(await publisher.read(), { value: { manifestText: text } });
});
