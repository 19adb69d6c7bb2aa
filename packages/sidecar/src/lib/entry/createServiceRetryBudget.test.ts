import type { ServiceId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

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
