import { createFakeClock, failure } from '@buckthornslip/common';
import { createMemoryStore } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createNodeRegistration } from './createNodeRegistration';

const KEY = 'nodes/host';

function createFixture() {
  const clock = createFakeClock();
  const store = createMemoryStore({ clock });
  const registration = createNodeRegistration({
    clock,
    store,
    logger: createSilentLogger(),
    key: KEY,
    value: () => Buffer.from('record'),
    rewriteDelayMilliseconds: () => 0,
    onEarlierValue: () => undefined,
    onWritten: () => undefined,
  });
  return { clock, registration, store };
}

// Guards against a node that uses up the write rate of a store that does not find the leases it has just granted.
void t.test('a write whose lease is not found is repeated after a pause', async (test) => {
  const { clock, registration, store } = createFixture();
  let writes = 0;
  Object.assign(store, {
    compareAndSwap: async () => {
      writes += 1;
      await clock.sleep(4);
      return failure({ kind: 'lease-not-found' });
    },
  });
  registration.start();
  await clock.advance(10_000);
  registration.close();
  test.ok(writes <= 11, `${writes} writes in 10 s`);
});

// Guards against a record that stays away for longer than needed after its lease has expired.
void t.test('a record whose lease has expired is written again at once', async (test) => {
  const { clock, registration, store } = createFixture();
  registration.start();
  await clock.advance(1_000);
  let renewals = 0;
  Object.assign(store, {
    keepAlive: () => {
      renewals += 1;
      return Promise.resolve(failure({ kind: 'lease-not-found' }));
    },
  });
  const { compareAndSwap } = store.calls;
  await clock.advance(8_010);
  registration.close();
  test.equal(renewals, 1);
  test.equal(store.calls.compareAndSwap - compareAndSwap, 2, 'one finds the old record');
});
