import type { ServiceId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

import { createRetryBudget } from './createRetryBudget';
import type { RetryClaim } from './createRetryBudget';

const SEED = 20_261_204;
const SERVICE = 'service' as ServiceId;
const OTHER = 'other' as ServiceId;
const SETTINGS = { ratio: 0.1, burst: 3 };
const NEARLY_DONE = { rank: 0, finishedSiblings: 3 };

// Guards against retries that add more load to a struggling service than the ratio allows.
void t.test('retries stay below the ratio and the burst, in any order', async (test) => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.boolean(), fc.nat(3), fc.nat(3)), { maxLength: 500 }),
      (steps) => {
        const budget = createRetryBudget(SETTINGS);
        let first = 0;
        let retries = 0;
        return steps.every(([isFirst, finishedSiblings, rank]) => {
          if (isFirst) {
            first += 1;
            budget.countFirstAttempt(SERVICE);
          } else if (budget.take(SERVICE, { finishedSiblings, rank })) retries += 1;
          return retries <= SETTINGS.ratio * first + SETTINGS.burst + 1e-9;
        });
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
  test.pass('bound kept in 500 runs');
});

// Guards against a failing service that uses up the retries of the others.
void t.test('each service has its own budget', async (test) => {
  const budget = createRetryBudget(SETTINGS);
  while (budget.take(SERVICE, NEARLY_DONE));
  test.ok(budget.take(OTHER, { rank: 3, finishedSiblings: 0 }));
});

// Guards against a node whose share of the fleet's slack is too small for a reserve, and which would never retry.
void t.test('full savings are enough for any call', async (test) => {
  for (const burst of [1, 1.5, 3]) {
    for (const rank of [0, 1, 2, 3]) {
      const budget = createRetryBudget({ ratio: 0.1, burst });
      test.ok(budget.take(SERVICE, { rank, finishedSiblings: 0 }), `${burst} in the bucket, rank ${rank}`);
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
 * Plays parents with nested calls in sequence, at a service that rejects a share of all attempts. A call is sent twice at
 * most, and a parent ends with its first failed call.
 */
function countServed(urgentShare: number, claimOf: (parent: Parent) => RetryClaim): Served {
  const random = createSeededRandom(1);
  const budget = createRetryBudget({ ratio: 0.1, burst: 2.5 });
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
    const isLost = isRejected() && (!budget.take(SERVICE, claimOf(parent)) || isRejected());
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

// Guards against an upstream that rejects a share of all calls, so that hardly any parent of several calls is served.
void t.test('retries that go to parents that are nearly done serve more of them', async (test) => {
  const alike = countServed(1, () => NEARLY_DONE);
  const preferred = countServed(1, ({ finished, rank }) => ({ rank, finishedSiblings: finished }));
  test.ok(preferred.all > alike.all * 1.2, `${preferred.all} instead of ${alike.all} served`);
});

// Guards against retries that are spent on less urgent calls while urgent ones fail.
void t.test('urgent parents get the retries first', async (test) => {
  const alike = countServed(URGENT_SHARE, () => NEARLY_DONE);
  const preferred = countServed(URGENT_SHARE, ({ finished, rank }) => ({
    rank,
    finishedSiblings: finished,
  }));
  const { urgent } = preferred;
  test.ok(urgent > alike.urgent * 1.2, `${urgent} instead of ${alike.urgent} urgent ones served`);
  test.ok(preferred.all > alike.all, `${preferred.all} instead of ${alike.all} served in all`);
});
