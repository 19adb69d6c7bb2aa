import assert from 'node:assert/strict';

import type { AccountId, FakeClock } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type { PublicationResult, Publisher } from '@buckthornslip/distribution';
import { createPublisher, HEAD_KEY, toConfigurationStore } from '@buckthornslip/distribution';
import type { MemoryStore } from '@buckthornslip/platform';
import { createMemoryStore } from '@buckthornslip/platform';

import type { Fault } from './faults';

/** Longer than a publisher takes with all its retries and delays, in milliseconds. */
const PUBLICATION_LIMIT_MILLISECONDS = 120_000;

/**
 * Delay of store operations in milliseconds; longer than the store timeout, so each write takes effect after it has
 * timed out.
 */
const SLOW_MILLISECONDS = 1_500;

const ACCOUNT = 'jelgava' as AccountId;

function manifestOf(release: string): string {
  return `release = "${release}"
[regions.riga]
zones = ["riga-a"]
[services.balances]
[[routes]]
name = "read-balances"
service = "balances"
methods = ["GET"]
path_prefix = "/balances"
[[accounts]]
id = "${ACCOUNT}"
rate_per_second = 1
`;
}

/** Advances the clock until the promise settles. */
async function awaitWithClock<Value>(clock: FakeClock, promise: Promise<Value>): Promise<Value> {
  let isDone = false;
  const done = promise.finally(() => {
    isDone = true;
  });
  for (let elapsed = 0; !isDone && elapsed < PUBLICATION_LIMIT_MILLISECONDS; elapsed += 100) {
    await clock.advance(100);
  }
  assert.ok(isDone, 'the publisher did not finish');
  return done;
}

/** Wraps a store so that it can lose the response to the next write of the configuration head. */
function createHeadLosingStore(store: MemoryStore) {
  let isLosing = false;
  const swap: MemoryStore['compareAndSwap'] = (key, ...rest) => {
    if (isLosing && key === HEAD_KEY) {
      isLosing = false;
      store.faults.loseWriteResponses(1);
    }
    return store.compareAndSwap(key, ...rest);
  };
  const loseHeadResponse = (): void => {
    isLosing = true;
  };
  return { store: { ...store, compareAndSwap: swap }, loseHeadResponse };
}

/** Creates a store with a manifest and one granted key, and two publishers. */
async function createFixture() {
  const clock = createFakeClock();
  const { loseHeadResponse, store } = createHeadLosingStore(createMemoryStore({ clock }));
  const create = (): Publisher =>
    createPublisher(toConfigurationStore(store), { clock, fleetSecret: 'secret-of-the-matrix' });
  const publisher = create();
  await awaitWithClock(clock, publisher.publishManifest(manifestOf('first')));
  const granted = await awaitWithClock(clock, publisher.grantKey(ACCOUNT));
  assert.equal(granted.result.kind, 'published');
  return { clock, store, loseHeadResponse, publisher, other: create(), keyId: granted.keyId };
}

type Fixture = Awaited<ReturnType<typeof createFixture>>;

/** Result of an operation, with a predicate that tells whether the operation took effect in the store. */
interface Publication {
  readonly result: PublicationResult;
  readonly isInStore: (stored: Stored) => boolean;
}

type Stored = {
  readonly revision: number;
  readonly manifestText: string;
  readonly keys: readonly { readonly id: string; readonly state: string }[];
};

/** Operations of a publisher. */
export type PublicationOperation = 'publish' | 'grant' | 'withdraw';

const runOperation: Readonly<
  Record<PublicationOperation, (fixture: Fixture) => Promise<Publication>>
> = {
  publish: async ({ publisher }) => {
    const text = manifestOf('second');
    const result = await publisher.publishManifest(text);
    return { result, isInStore: ({ manifestText }) => manifestText === text };
  },
  grant: async ({ publisher }) => {
    const { keyId, result } = await publisher.grantKey(ACCOUNT);
    const isInStore = ({ keys }: Stored): boolean =>
      keys.some(({ id, state }) => id === keyId && state === 'granted');
    return { result, isInStore };
  },
  withdraw: async ({ keyId, publisher }) => {
    const result = await publisher.withdrawKey(keyId);
    const isInStore = ({ keys }: Stored): boolean =>
      keys.some(({ id, state }) => id === keyId && state === 'withdrawn');
    return { result, isInStore };
  },
};

const faultInjectors: Partial<Record<Fault, (store: MemoryStore, fixture: Fixture) => void>> = {
  'store down': ({ faults }) => faults.setDown(true),
  'store slow': ({ faults }) => faults.setSlow(SLOW_MILLISECONDS),
  // Loses two responses: to the first write, which stores a part, and to the write of the head.
  'store response lost': ({ faults }, fixture) => {
    faults.loseWriteResponses(1);
    fixture.loseHeadResponse();
  },
  'conflicting publications': (_store, { other }) => {
    void other.publishManifest(manifestOf('conflicting'));
  },
};

function checkReport(fault: Fault, { isInStore, result }: Publication, stored: Stored): void {
  if (result.kind === 'published') assert.ok(isInStore(stored), '12: an accepted change was lost');
  if (result.kind === 'conflict' || result.kind === 'not-published') {
    assert.ok(!isInStore(stored), '12: a change reported as refused is in force');
  }
  if (fault === 'store response lost') {
    assert.equal(
      result.kind,
      'published',
      '12: a write whose response was lost was reported as failed',
    );
  }
}

/**
 * Runs a publication under a fault of the store or against a concurrent publisher. Checks that the reported result
 * agrees with the stored configuration and that revisions only increase.
 *
 * @param operation - Operation to run.
 * @param fault - Fault to inject before the operation.
 */
export async function checkPublication(
  operation: PublicationOperation,
  fault: Fault,
): Promise<void> {
  const fixture = await createFixture();
  const { clock, publisher, store } = fixture;
  faultInjectors[fault]?.(store, fixture);
  const publication = await awaitWithClock(clock, runOperation[operation](fixture));
  // Delayed writes that have timed out take effect now, before the store is read without faults.
  await clock.advance(PUBLICATION_LIMIT_MILLISECONDS);
  store.faults.setDown(false);
  store.faults.setSlow(0);
  store.faults.loseWriteResponses(0);
  const read = await awaitWithClock(clock, publisher.read());
  assert.ok(read.ok && read.value !== undefined, 'the configuration is not readable');
  checkReport(fault, publication, read.value);
  assert.ok(read.value.revision >= 2, '12: the revision decreased');
  const next = await awaitWithClock(clock, publisher.publishManifest(manifestOf('after')));
  assert.ok(
    next.kind === 'published' && next.revision > read.value.revision,
    '12: the next publication did not get a higher revision',
  );
  store.close();
}
