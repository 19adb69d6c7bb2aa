import type { ServiceId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

import { createRepeatLimit } from '../serving/createRepeatLimit';
import { createServiceRetryBudget } from './createServiceRetryBudget';
import type { RetryClaim } from './createServiceRetryBudget';

const SEED = 20_261_204;
const SERVICE = 'service' as ServiceId;
const OTHER = 'other' as ServiceId;
const SETTINGS = { ratio: 0.1, burst: 3 };
const NEARLY_DONE = { rank: 0, finishedSiblings: 3 };

// Guards against retries that add more load to an overloaded service than the ratio allows.
void t.test('retries stay below the ratio and the burst, in any order', async (test) => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.boolean(), fc.nat(3), fc.nat(3)), { maxLength: 500 }),
      (steps) => {
        const budget = createServiceRetryBudget(SETTINGS);
        let first = 0;
        let retries = 0;
        return steps.every(([isFirst, finishedSiblings, rank]) => {
          if (isFirst) {
            first += 1;
            budget.countFirstAttempt(SERVICE);
          } else if (budget.trySpend(SERVICE, { finishedSiblings, rank })) retries += 1;
          return retries <= SETTINGS.ratio * first + SETTINGS.burst + 1e-9;
        });
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
  test.pass('the bound held in 500 runs');
});

// Guards against a failing service that spends the retries of other services.
void t.test('each service has its own budget', async (test) => {
  const budget = createServiceRetryBudget(SETTINGS);
  while (budget.trySpend(SERVICE, NEARLY_DONE));
  test.ok(budget.trySpend(OTHER, { rank: 3, finishedSiblings: 0 }));
});

// Guards against a node that never retries because its share of the fleet's burst is too small for the reserves.
void t.test('a full bucket allows a retry of any call', async (test) => {
  for (const burst of [1, 1.5, 3]) {
    for (const rank of [0, 1, 2, 3]) {
      const budget = createServiceRetryBudget({ ratio: 0.1, burst });
      test.ok(
        budget.trySpend(SERVICE, { rank, finishedSiblings: 0 }),
        `${burst} in the bucket, rank ${rank}`,
      );
    }
  }
});

const PARENTS = 20_000;
const CALLS_OF_PARENT = 4;
const REJECTED_SHARE = 0.45;
const CONCURRENT_PARENTS = 50;
const URGENT_SHARE = 0.3;

interface Parent {
  readonly rank: number;
  finished: number;
}

interface Served {
  readonly all: number;
  readonly urgent: number;
}

/**
 * Simulates parent calls that make nested calls in sequence at a service that rejects a share of all attempts. A call
 * is retried at most once, and a parent ends with its first failed call.
 */
function countServed(urgentShare: number, claimOf: (parent: Parent) => RetryClaim): Served {
  const random = createSeededRandom(1);
  const budget = createServiceRetryBudget({ ratio: 0.1, burst: 2.5 });
  const isRejected = (): boolean => random.next() < REJECTED_SHARE;
  const start = (): Parent => ({
    rank: urgentShare === 1 || random.next() < urgentShare ? 0 : 2,
    finished: 0,
  });
  const running = Array.from({ length: CONCURRENT_PARENTS }, start);
  let started = CONCURRENT_PARENTS;
  let all = 0;
  let urgent = 0;
  for (let turn = 0; started < PARENTS; turn += 1) {
    const index = turn % CONCURRENT_PARENTS;
    const parent = running[index] as Parent;
    budget.countFirstAttempt(SERVICE);
    const isLost = isRejected() && (!budget.trySpend(SERVICE, claimOf(parent)) || isRejected());
    if (!isLost) parent.finished += 1;
    const isDone = parent.finished === CALLS_OF_PARENT;
    if (isDone) all += 1;
    if (isDone && parent.rank === 0) urgent += 1;
    if (isLost || isDone) {
      running[index] = start();
      started += 1;
    }
  }
  return { all, urgent };
}

// Guards against serving hardly any parent with several nested calls when an upstream rejects a share of all calls.
void t.test(
  'spending retries on parents that are nearly done serves more parents',
  async (test) => {
    const uniform = countServed(1, () => NEARLY_DONE);
    const prioritized = countServed(1, ({ finished, rank }) => ({
      rank,
      finishedSiblings: finished,
    }));
    test.ok(
      prioritized.all > uniform.all * 1.2,
      `${prioritized.all} instead of ${uniform.all} served`,
    );
  },
);

// Guards against spending retries on less urgent calls while urgent ones fail.
void t.test('urgent parents get retries first', async (test) => {
  const uniform = countServed(URGENT_SHARE, () => NEARLY_DONE);
  const prioritized = countServed(URGENT_SHARE, ({ finished, rank }) => ({
    rank,
    finishedSiblings: finished,
  }));
  const { urgent } = prioritized;
  test.ok(
    urgent > uniform.urgent * 1.2,
    `${urgent} instead of ${uniform.urgent} urgent ones served`,
  );
  test.ok(
    prioritized.all > uniform.all,
    `${prioritized.all} instead of ${uniform.all} served in all`,
  );
});

const SEEDS = [SEED, 1, 2, 3, 4, 5, 6];
const NODES = 40;
const FLEET_SLACK = 20;
const FLEET_RATIO = 0.2;
const NESTED_CALLS = 4;
const SECONDS = 40;
const WINDOW_SECONDS = 10;
const PARENTS_PER_SECOND = 15;

/** Arrivals at the upstreams of a service in each second: first ones, and those beyond the first of each request. */
interface Arrivals {
  readonly first: number[];
  readonly repeated: number[];
}

/**
 * Simulates a fleet in which half of the runs at two services fail for 20 s. A repeated parent makes its nested calls again,
 * through the node at which it runs. Entry nodes have budgets, and each upstream has a limit.
 */
function playFailures(seed: number): readonly Arrivals[] {
  const random = createSeededRandom(seed);
  const settings = { ratio: FLEET_RATIO * 0.85, burst: 5 };
  const services = [SERVICE, OTHER];
  const entries = Array.from({ length: NODES }, () => createServiceRetryBudget(settings));
  const upstreams = NODES / services.length;
  const createLimit = () =>
    createRepeatLimit({ ratio: FLEET_RATIO, burst: FLEET_SLACK, upstreamCount: () => upstreams });
  const serving = services.map(() => Array.from({ length: upstreams }, createLimit));
  const pick = <Item>(items: readonly Item[]): Item => items[random.nextInteger(items.length)]!;
  const zeros = (): number[] => new Array<number>(SECONDS).fill(0);
  const arrivals = services.map(() => ({ first: zeros(), repeated: zeros() }));
  let second = 0;
  const fails = (): boolean => second >= 5 && second < 25 && random.next() < 0.5;

  const run = (depth: number, isRepeat: boolean): boolean => {
    const node = pick(serving[depth]!);
    const { first, repeated } = arrivals[depth]!;
    if (!isRepeat) node.countFirstAttempt();
    else if (!node.tryRepeat()) return false;
    const counts = isRepeat ? repeated : first;
    counts[second] = counts[second]! + 1;
    for (let nested = 0; depth === 0 && nested < NESTED_CALLS; nested += 1) call(1, isRepeat);
    return !fails();
  };
  function call(depth: number, isRepeat: boolean): void {
    const service = services[depth]!;
    const entry = pick(entries);
    if (!isRepeat) entry.countFirstAttempt(service);
    if (!run(depth, isRepeat) && entry.trySpend(service, NEARLY_DONE)) run(depth, true);
  }
  for (; second < SECONDS; second += 1) {
    for (let count = 0; count < PARENTS_PER_SECOND; count += 1) call(0, false);
  }
  return arrivals;
}

// Guards against retries of parents that multiply at the services below them, and against a burst that grows with the number
// of nodes.
void t.test('the fleet keeps the ratio also at services below repeated calls', async (test) => {
  const sum = (counts: readonly number[], from: number): number =>
    counts.slice(from, from + WINDOW_SECONDS).reduce((total, one) => total + one, 0);
  for (const seed of SEEDS) {
    playFailures(seed).forEach(({ first, repeated }, depth) => {
      const windows = Array.from({ length: SECONDS - WINDOW_SECONDS + 1 }, (_, from) => ({
        from,
        allowed: FLEET_RATIO * sum(first, from) + FLEET_SLACK,
        found: sum(repeated, from),
      }));
      const exceeded = windows.filter(({ allowed, found }) => found > allowed);
      test.same(exceeded, [], `seed ${seed}, depth ${depth}`);
      const most = Math.max(...windows.map(({ allowed, found }) => found / allowed));
      test.ok(most > 0.4, `seed ${seed}, depth ${depth}: at most ${most} of the allowed repeats`);
    });
  }
});
