import { BehaviorSubject } from 'rxjs';
import t from 'tap';
import { createFakeClock, createSeededRandom, failure, success } from '@buckthornslip/common';
import type { AccountId, FakeClock, RegionId } from '@buckthornslip/common';
import type { HeldLease } from '@buckthornslip/leases';
import { createAccountGrouping, createTokenServer, limitsPartition } from '@buckthornslip/limits';
import type { GrantResponse, SplitStoreError, TokenServer } from '@buckthornslip/limits';
import { createSilentLogger } from '@buckthornslip/telemetry';

const ACCOUNT = 'account' as AccountId;
const EAST = 'east' as RegionId;
const WEST = 'west' as RegionId;

interface Fixture {
  readonly clock: FakeClock;
  readonly server: TokenServer;
  /** Requests one token with demand from the region. */
  readonly ask: (demandFrom: RegionId) => GrantResponse;
  readonly westPart: () => number;
  /** Failure of the next writes, and a function that applies the last failed write. */
  readonly writes: { failure: SplitStoreError | undefined; apply: (() => void) | undefined };
  /** Applies the last failed write. */
  readonly applyLateWrite: () => void;
  readonly loseLease: () => void;
}

/** Creates a token server with an undivided account that the eastern region owns. */
async function createFixture(): Promise<Fixture> {
  const clock = createFakeClock();
  const grouping = await createAccountGrouping();
  const partition = limitsPartition(EAST, grouping.groupOf(ACCOUNT));
  const account = { parts: { east: 1_000_000, west: 0 }, wants: {} };
  let entry = {
    value: JSON.stringify({ epochs: { east: 1 }, accounts: { [ACCOUNT]: account } }),
    revision: 1,
  };
  const writes: Fixture['writes'] = { failure: undefined, apply: undefined };
  const swap = (expected: number, value: string): boolean => {
    if (expected !== entry.revision) return false;
    entry = { value, revision: expected + 1 };
    return true;
  };
  let isHeld = true;
  const lease: HeldLease = {
    partition,
    epoch: 2,
    candidates: [],
    startedWithoutState: false,
    takenAtWallMilliseconds: 0,
    remainingMilliseconds: () => (isHeld ? 5_000 : 0),
  };
  const server = createTokenServer({
    clock,
    random: createSeededRandom(1),
    region: EAST,
    grouping,
    leases: {
      heldLease: (asked) => (asked === partition ? lease : undefined),
      heldLeaseChanges: (asked) => new BehaviorSubject(asked === partition ? lease : undefined),
    },
    store: {
      get: () => Promise.resolve(success(entry)),
      compareAndSwap: (_, expected, value) => {
        if (writes.failure) {
          writes.apply = () => {
            swap(expected, value);
          };
          return Promise.resolve(failure(writes.failure));
        }
        const isSwapped = swap(expected, value);
        return Promise.resolve(
          isSwapped ? success(entry.revision) : failure({ kind: 'conflict' as const }),
        );
      },
    },
    accounts: () =>
      new Map([
        [
          ACCOUNT,
          { id: ACCOUNT, ratePerSecond: 10, burst: 10, routes: [], whenIsolated: 'refuse' },
        ],
      ]),
    regions: () => [EAST, WEST],
    logger: createSilentLogger(),
    demandAverageMilliseconds: 3_000,
    splitReadMilliseconds: 100,
  });
  const record = (): { accounts: Record<string, { parts: Record<string, number> }> } =>
    JSON.parse(entry.value) as ReturnType<typeof record>;
  return {
    clock,
    server,
    writes,
    westPart: () => record().accounts[ACCOUNT]?.parts[WEST] ?? 0,
    applyLateWrite: () => writes.apply?.(),
    ask: (region) =>
      server.handle({
        partition,
        account: ACCOUNT,
        region,
        needed: 1,
        ahead: 0,
        demand: 1,
        reports: [],
      }),
    loseLease: () => {
      isHeld = false;
    },
  };
}

/**
 * Requests a token ten times a second until a condition holds, and returns the times of the grants.
 */
async function askUntil(
  fixture: Fixture,
  demandFrom: RegionId,
  isEnough: () => boolean,
): Promise<readonly number[]> {
  const { clock, ask } = fixture;
  const granted: number[] = [];
  for (let round = 0; round < 100 && !isEnough(); round += 1) {
    if (ask(demandFrom).kind === 'granted') granted.push(clock.monotonicMilliseconds());
    await clock.advance(100);
  }
  return granted;
}

void t.test('a part is moved only after its outstanding tokens have expired', async (test) => {
  // Guards against crediting the recipient too early: it would grant tokens that are still being spent in this region.
  const fixture = await createFixture();
  const granted = await askUntil(fixture, WEST, () => fixture.westPart() > 0);
  test.equal(fixture.westPart(), 1_000_000);
  test.ok(granted.length > 5);
  const lastGrant = granted[granted.length - 1] ?? Infinity;
  test.ok(fixture.clock.monotonicMilliseconds() - lastGrant >= 1_000);
  test.same(fixture.ask(WEST), { kind: 'other-region', region: WEST });
  fixture.server.stop();
});

void t.test('grants nothing before its parts are claimed in the store', async (test) => {
  // Guards against a late write of an earlier lease holder that moves away a part in use by this one.
  const fixture = await createFixture();
  fixture.writes.failure = { kind: 'unavailable' };
  await askUntil(fixture, EAST, () => fixture.clock.monotonicMilliseconds() >= 3_000);
  test.equal(fixture.ask(EAST).kind, 'empty');
  fixture.writes.failure = undefined;
  const granted = await askUntil(
    fixture,
    EAST,
    () => fixture.clock.monotonicMilliseconds() >= 5_000,
  );
  test.ok(granted.length > 0);
  fixture.server.stop();
});

void t.test('does not use a part whose move may have been written', async (test) => {
  // Guards against treating an unchanged record as proof that the write failed: it may still take effect.
  const fixture = await createFixture();
  const { clock, writes } = fixture;
  await askUntil(fixture, WEST, () => clock.monotonicMilliseconds() >= 500);
  writes.failure = { kind: 'timeout' };
  writes.apply = undefined;
  await askUntil(fixture, WEST, () => writes.apply !== undefined);
  const end = clock.monotonicMilliseconds() + 5_000;
  // Demand has returned to the owner, which would therefore keep the part.
  for (let call = 0; call < 100; call += 1) fixture.ask(EAST);
  const granted = await askUntil(fixture, EAST, () => clock.monotonicMilliseconds() >= end);
  test.same(granted, []);
  fixture.applyLateWrite();
  test.equal(fixture.westPart(), 1_000_000);
  fixture.server.stop();
});

void t.test('grants nothing after its lease has ended', async (test) => {
  const fixture = await createFixture();
  await askUntil(fixture, EAST, () => fixture.clock.monotonicMilliseconds() >= 2_000);
  test.not(fixture.ask(EAST).kind, 'not-holder');
  fixture.loseLease();
  test.same(fixture.ask(EAST), { kind: 'not-holder' });
  fixture.server.stop();
});
