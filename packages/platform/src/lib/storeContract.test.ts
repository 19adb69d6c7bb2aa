import { createFakeClock, createSystemClock, type Result } from '@buckthornslip/common';
import {
  createMemoryStore,
  createStoreClient,
  createStoreServer,
  MAXIMUM_VALUE_BYTES,
  type Store,
  type StoreError,
  type StoreEvent,
} from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { filter, firstValueFrom, take, toArray } from 'rxjs';
import t from 'tap';

const text = (value: string): Uint8Array => Buffer.from(value);
const clock = createSystemClock();

// Timers of the system clock are unreferenced, so this interval keeps the process alive.
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

function expectOk<Value>(result: Result<Value, StoreError>): Value {
  if (!result.ok) throw new Error(`store operation failed: ${result.error.kind}`);
  return result.value;
}

const errorKind = (result: Result<unknown, StoreError>): string =>
  result.ok ? 'none' : result.error.kind;

async function createServerFixture(): Promise<{
  readonly store: Store;
  readonly controls: Awaited<ReturnType<typeof createStoreServer>>;
  readonly close: () => void;
}> {
  const controls = await createStoreServer({ clock, listen: '127.0.0.1:0' });
  const store = createStoreClient({
    // Port 1 refuses connections, so that the client has to fail over to the second endpoint.
    endpoints: ['127.0.0.1:1', controls.address],
    clock,
    logger: createSilentLogger(),
    timeoutMilliseconds: 300,
  });
  const close = (): void => {
    store.close();
    controls.close();
  };
  return { store, controls, close };
}

const createInProcessFixture = (): {
  readonly store: Store;
  readonly controls: ReturnType<typeof createMemoryStore>;
  readonly close: () => void;
} => {
  const memoryStore = createMemoryStore({ clock, timeoutMilliseconds: 300 });
  return { store: memoryStore, controls: memoryStore, close: memoryStore.close };
};

for (const [name, create] of [
  ['memory store', createInProcessFixture],
  ['client and server', createServerFixture],
] as const) {
  void t.test(`${name}: writes take effect only at the expected revision`, async (test) => {
    const { store, close } = await create();
    test.teardown(close);
    test.equal(expectOk(await store.get('a/1')), undefined);
    const first = expectOk(await store.compareAndSwap('a/1', 0, text('one')));
    const conflict = await store.compareAndSwap('a/1', 0, text('two'));
    if (conflict.ok || conflict.error.kind !== 'conflict') throw new Error('expected a conflict');
    test.equal(Buffer.from(conflict.error.current?.value ?? []).toString(), 'one');
    const second = expectOk(await store.compareAndSwap('a/1', first, text('two')));
    test.ok(second > first);
    test.equal(errorKind(await store.remove('a/1', first)), 'conflict');
    await store.compareAndSwap('a/2', 0, text('x'));
    await store.compareAndSwap('b/1', 0, text('x'));
    const listing = expectOk(await store.list('a/'));
    test.same(
      listing.entries.map(({ key }) => key),
      ['a/1', 'a/2'],
    );
    expectOk(await store.remove('a/1', second));
    test.equal(expectOk(await store.get('a/1')), undefined);
    const tooLarge = new Uint8Array(MAXIMUM_VALUE_BYTES + 1);
    test.equal(errorKind(await store.compareAndSwap('c', 0, tooLarge)), 'value-too-large');
    expectOk(await store.compareAndSwap('c', 0, tooLarge.subarray(1)));
  });

  void t.test(`${name}: a write whose response is lost has taken effect`, async (test) => {
    const { store, controls, close } = await create();
    test.teardown(close);
    await store.get('k');
    controls.faults.loseWriteResponses(1);
    test.equal(errorKind(await store.compareAndSwap('k', 0, text('kept'))), 'timeout');
    test.equal(Buffer.from(expectOk(await store.get('k'))?.value ?? []).toString(), 'kept');
    controls.faults.setSlow(2_000);
    test.equal(errorKind(await store.compareAndSwap('late', 0, text('x'))), 'timeout');
    controls.faults.setSlow(0);
    controls.faults.setDown(true);
    test.equal(errorKind(await store.get('k')), 'unavailable');
  });

  void t.test(
    `${name}: a watch misses no change during an outage or a compaction`,
    async (test) => {
      const { store, controls, close } = await create();
      test.teardown(close);
      await store.get('w/1');
      const changes = store.watch('w/', 1).pipe(filter(({ kind }) => kind !== 'connected'));
      const seen = firstValueFrom(changes.pipe(take(4), toArray()));
      const first = expectOk(await store.compareAndSwap('w/1', 0, text('x')));
      await clock.sleep(100);
      controls.faults.setDown(true);
      await clock.sleep(100);
      controls.faults.setDown(false);
      const second = expectOk(await store.compareAndSwap('w/1', first, text('y')));
      expectOk(await store.remove('w/1', second));
      test.same(
        (await seen).map(({ kind }) => kind),
        ['put', 'disconnected', 'put', 'removed'],
      );
      expectOk(await store.compareAndSwap('w/2', 0, text('z')));
      controls.compact(second + 1);
      const relisted = await firstValueFrom(
        store.watch('w/', 1).pipe(filter(({ kind }: StoreEvent) => kind === 'relisted')),
      );
      if (relisted.kind !== 'relisted') throw new Error('expected a relisted event');
      test.same(
        relisted.entries.map(({ key }) => key),
        ['w/2'],
      );
    },
  );

  void t.test(`${name}: a store lease removes its keys when it ends`, async (test) => {
    const { store, controls, close } = await create();
    test.teardown(close);
    await store.get('l/1');
    const lease = expectOk(await store.grantLease(1_000));
    expectOk(await store.compareAndSwap('l/1', 0, text('x'), lease.id));
    const removed = firstValueFrom(
      store.watch('l/', 1).pipe(filter(({ kind }) => kind === 'removed')),
    );
    test.equal(expectOk(await store.keepAlive(lease.id)), 1_000);
    await removed;
    test.equal(errorKind(await store.keepAlive(lease.id)), 'lease-not-found');
    const other = expectOk(await store.grantLease(60_000));
    const revision = expectOk(await store.compareAndSwap('l/2', 0, text('x'), other.id));
    test.ok(revision > 0);
    expectOk(await store.revokeLease(other.id));
    test.equal(expectOk(await store.get('l/2')), undefined);
    test.match(controls.calls, { compareAndSwap: 2, lease: 5, watch: 1 });
  });
}

void t.test('an operation that timed out may still take effect later', async (test) => {
  const fakeClock = createFakeClock();
  const store = createMemoryStore({ clock: fakeClock, timeoutMilliseconds: 1_000 });
  store.faults.setSlow(5_000);
  const written = store.compareAndSwap('k', 0, text('x'));
  await fakeClock.advance(1_000);
  test.equal(errorKind(await written), 'timeout');
  store.faults.setSlow(0);
  test.equal(expectOk(await store.get('k')), undefined);
  await fakeClock.advance(4_000);
  test.not(expectOk(await store.get('k')), undefined);
});
