import type { AccountId, Clock } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom, failure, success } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

import type { AccountLedger } from './AccountLedger';
import { createAccountLedger } from './createAccountLedger';
import { createLedgerRateLimiter } from './createLedgerRateLimiter';
import type { LedgerRateLimiter } from './LedgerRateLimiter';

const ACCOUNT = 'account' as AccountId;
const SEED = 20_261_204;
const RATE = 40;
const BURST = 40;
const WINDOW_SECONDS = 5;

/** Maximum number of requests that operators accept in a window of five seconds. */
const MAXIMUM_ADMITTED = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 20;

interface Fixture {
  readonly clock: ReturnType<typeof createFakeClock>;
  readonly limiters: readonly LedgerRateLimiter[];
  readonly ledger: AccountLedger;
  /** Replaces the ledger by a new one without state, as when another node takes over. */
  readonly replaceLedger: () => void;
  readonly setReachable: (reachable: boolean) => void;
}

function createFixture(nodes: number, isFirstStart: boolean): Fixture {
  const clock = createFakeClock();
  const allowanceOf = () => ({ ratePerSecond: RATE, burst: BURST });
  let ledger = createAccountLedger(clock, {
    allowanceOf,
    isFirstStart,
    share: () => 1,
    hasLostNodes: () => false,
  });
  let isReachable = true;
  const createLimiter = (delay: number, nodeClock: Clock): LedgerRateLimiter =>
    createLedgerRateLimiter({
      clock: nodeClock,
      allowanceOf,
      nodeCount: () => nodes,
      ledgers: {
        request: async (request) => {
          await clock.sleep(delay);
          if (!isReachable) return failure({ kind: 'ledger-unreachable' });
          const grant = await ledger.grant(request);
          await clock.sleep(delay);
          return success(grant);
        },
      },
    });
  return {
    clock,
    ledger,
    limiters: Array.from({ length: nodes }, (_, index) =>
      createLimiter(index % 2 === 0 ? 1 : 30, clock),
    ),
    replaceLedger: () => {
      ledger = createAccountLedger(clock, {
        allowanceOf,
        isFirstStart: false,
        share: () => 1,
        hasLostNodes: () => false,
      });
    },
    setReachable: (reachable) => {
      isReachable = reachable;
    },
  };
}

function maximumInWindow(times: readonly number[]): number {
  let first = 0;
  let max = 0;
  times.forEach((time, index) => {
    while (time - (times[first] as number) > WINDOW_SECONDS * 1_000) first += 1;
    max = Math.max(max, index - first + 1);
  });
  return max;
}

async function simulateLoad(fixture: Fixture, perSecond: number, seconds: number, seed: number) {
  const random = createSeededRandom(seed);
  const admitted: number[][] = fixture.limiters.map(() => []);
  let refused = 0;
  const call = async (node: number): Promise<void> => {
    const refusal = await fixture.limiters[node]!.acquire(ACCOUNT);
    if (refusal) refused += 1;
    else admitted[node]!.push(fixture.clock.monotonicMilliseconds());
  };
  for (let step = 0; step < seconds * 100; step += 1) {
    for (let due = perSecond / 100; due > 0; due -= 1) {
      const node = random.nextInteger(fixture.limiters.length);
      if (random.next() < due) void call(node);
    }
    await fixture.clock.advance(10);
  }
  await fixture.clock.advance(1_000);
  return { admitted, refused, all: admitted.flat().sort((left, right) => left - right) };
}

// Guards against exceeding an account's limit when it sends many times its rate to all nodes while its ledger moves to
// other nodes and is unreachable for a while.
void t.test('no window exceeds the limit of the account', async (test) => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 2, max: 17 }),
      fc.integer({ min: 20, max: 400 }),
      fc.boolean(),
      fc.integer({ min: 1, max: 1_000_000 }),
      async (nodes, perSecond, isFirstStart, seed) => {
        const fixture = createFixture(nodes, isFirstStart);
        const simulation = simulateLoad(fixture, perSecond, 8, seed);
        const faults = createSeededRandom(seed);
        fixture.clock.setTimer(1_000 + faults.nextInteger(3_000), fixture.replaceLedger);
        fixture.clock.setTimer(1_000 + faults.nextInteger(3_000), () =>
          fixture.setReachable(false),
        );
        fixture.clock.setTimer(4_500, () => fixture.setReachable(true));
        fixture.clock.setTimer(4_500, fixture.replaceLedger);
        const { all } = await simulation;
        return maximumInWindow(all) <= MAXIMUM_ADMITTED;
      },
    ),
    { seed: SEED, numRuns: 30 },
  );
  test.pass('limit kept in 30 runs');
});

// Guards against refusing an account that stays within its rate.
void t.test(
  'an account at half its rate is refused at most once in a thousand requests',
  async (test) => {
    const fixture = createFixture(17, true);
    const { all, refused } = await simulateLoad(fixture, RATE / 2, 20, SEED);
    test.ok(refused <= all.length * 0.001, `${refused} of ${all.length + refused} refused`);
  },
);

// Guards against nodes near the ledger taking all tokens of an account that exceeds its rate.
void t.test(
  'near and far nodes share the tokens of an account that exceeds its rate',
  async (test) => {
    const fixture = createFixture(4, false);
    const { admitted } = await simulateLoad(fixture, RATE * 2, 20, SEED);
    const near = admitted[0]!.length + admitted[2]!.length;
    const far = admitted[1]!.length + admitted[3]!.length;
    test.ok(far > near / 2, `${near} near, ${far} far`);
  },
);

// Guards against a host that was suspended and then spends tokens that were granted long before: its monotonic clock does
// not count the time of the suspension, but its wall clock does.
void t.test('tokens expire while the host is suspended', async (test) => {
  const clock = createFakeClock();
  const allowanceOf = () => ({ ratePerSecond: RATE, burst: BURST });
  let requests = 0;
  const limiter = createLedgerRateLimiter({
    clock,
    allowanceOf,
    nodeCount: () => 1,
    ledgers: {
      request: async () => {
        requests += 1;
        return success({ tokens: 5, retryAfterMilliseconds: 0 });
      },
    },
  });
  await limiter.acquire(ACCOUNT);
  test.equal(limiter.acquire(ACCOUNT), undefined, 'a prefetched token is spent at once');
  clock.stepWallClock(5_000);
  await limiter.acquire(ACCOUNT);
  test.equal(requests, 2, 'after the suspension the ledger is asked again');
});
