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

/** What operators allow in a window of five seconds. */
const ALLOWED = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 20;

interface World {
  readonly clock: ReturnType<typeof createFakeClock>;
  readonly gates: readonly LedgerRateLimiter[];
  readonly ledger: AccountLedger;
  /** Loses the ledger: another one takes over, as a node does that has just found itself in charge. */
  readonly replaceLedger: () => void;
  readonly setReachable: (reachable: boolean) => void;
}

function createWorld(nodes: number, isFirstStart: boolean): World {
  const clock = createFakeClock();
  const allowanceOf = () => ({ ratePerSecond: RATE, burst: BURST });
  let ledger = createAccountLedger(clock, { allowanceOf, isFirstStart });
  let isReachable = true;
  const createGate = (delay: number, within: Clock): LedgerRateLimiter =>
    createLedgerRateLimiter({
      clock: within,
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
    gates: Array.from({ length: nodes }, (_, index) => createGate(index % 2 === 0 ? 1 : 30, clock)),
    replaceLedger: () => {
      ledger = createAccountLedger(clock, { allowanceOf, isFirstStart: false });
    },
    setReachable: (reachable) => {
      isReachable = reachable;
    },
  };
}

function mostInWindow(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  times.forEach((time, index) => {
    while (time - (times[first] as number) > WINDOW_SECONDS * 1_000) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

async function play(world: World, perSecond: number, seconds: number, seed: number) {
  const random = createSeededRandom(seed);
  const entered: number[][] = world.gates.map(() => []);
  let refused = 0;
  const enter = async (node: number): Promise<void> => {
    const refusal = await world.gates[node]!.acquire(ACCOUNT);
    if (refusal) refused += 1;
    else entered[node]!.push(world.clock.monotonicMilliseconds());
  };
  for (let step = 0; step < seconds * 100; step += 1) {
    for (let due = perSecond / 100; due > 0; due -= 1) {
      const node = random.nextInteger(world.gates.length);
      if (random.next() < due) void enter(node);
    }
    await world.clock.advance(10);
  }
  await world.clock.advance(1_000);
  return { entered, refused, all: entered.flat().sort((left, right) => left - right) };
}

// Guards against an account that gets more than its rate and burst when it sends many times its rate to all nodes,
// while its ledger moves to other nodes and is unreachable for a while.
void t.test('no window holds more than the account pays for', async (test) => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 2, max: 17 }),
      fc.integer({ min: 20, max: 400 }),
      fc.boolean(),
      fc.integer({ min: 1, max: 1_000_000 }),
      async (nodes, perSecond, isFirstStart, seed) => {
        const world = createWorld(nodes, isFirstStart);
        const playing = play(world, perSecond, 8, seed);
        const faults = createSeededRandom(seed);
        world.clock.setTimer(1_000 + faults.nextInteger(3_000), world.replaceLedger);
        world.clock.setTimer(1_000 + faults.nextInteger(3_000), () => world.setReachable(false));
        world.clock.setTimer(4_500, () => world.setReachable(true));
        world.clock.setTimer(4_500, world.replaceLedger);
        const { all } = await playing;
        return mostInWindow(all) <= ALLOWED;
      },
    ),
    { seed: SEED, numRuns: 30 },
  );
  test.pass('bound kept in 30 runs');
});

// Guards against refusals of an account that stays within its rate.
void t.test('an account at half its rate is hardly refused', async (test) => {
  const world = createWorld(17, true);
  const { all, refused } = await play(world, RATE / 2, 20, SEED);
  test.ok(refused <= all.length * 0.001, `${refused} of ${all.length + refused} refused`);
});

// Guards against nodes near the ledger that take all tokens of an account over its rate.
void t.test('near and far nodes share a scarce account', async (test) => {
  const world = createWorld(4, false);
  const { entered } = await play(world, RATE * 2, 20, SEED);
  const near = entered[0]!.length + entered[2]!.length;
  const far = entered[1]!.length + entered[3]!.length;
  test.ok(far > near / 2, `${near} near, ${far} far`);
});
