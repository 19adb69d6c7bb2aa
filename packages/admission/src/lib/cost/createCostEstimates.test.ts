import { createCostEstimates } from '@buckthornslip/admission';
import type { CostKey } from '@buckthornslip/admission';
import type { AccountId, ServiceId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import t from 'tap';

const keyOf = (route: string, account = 'a', bodyBytes = 0): CostKey => ({
  service: 'service' as ServiceId,
  route,
  account: account as AccountId,
  method: 'POST',
  bodyBytes,
});

const observe = (
  estimates: ReturnType<typeof createCostEstimates>,
  key: CostKey,
  milliseconds: number,
  times = 40,
): void => Array.from({ length: times }).forEach(() => estimates.observe(key, milliseconds));

// Guards against one mean for requests that can be told apart, and against no estimate for those that can't.
void t.test(
  'known combinations have their own cost, others that of the route or service',
  async (test) => {
    const estimates = createCostEstimates();
    test.equal(estimates.expected(keyOf('r')), 0);
    observe(estimates, keyOf('r', 'a', 100), 50);
    observe(estimates, keyOf('r', 'a', 100_000), 250);
    const small = estimates.expected(keyOf('r', 'a', 120));
    const large = estimates.expected(keyOf('r', 'a', 110_000));
    const route = estimates.expected(keyOf('r', 'b', 7));
    const service = estimates.expected(keyOf('other', 'b', 7));
    test.ok(small < 100 && large > 180, `${small}, ${large}`);
    test.ok(small < route && route < large && service > 0, `${route}, ${service}`);
  },
);

// Guards against one very long call, or invalid times, that change an estimate beyond the bound.
void t.test('a sample counts for at most eight times the mean of its class', async (test) => {
  const estimates = createCostEstimates();
  observe(estimates, keyOf('r'), 100);
  estimates.observe(keyOf('r'), 1e9);
  [Infinity, NaN, -1].forEach((milliseconds) => estimates.observe(keyOf('r'), milliseconds));
  test.ok(estimates.expected(keyOf('r')) < 130);
  test.ok(estimates.expected(keyOf('r')) > 100);
});

// Guards against rare combinations that take the entries of frequent ones.
void t.test('frequent combinations keep their estimates among many rare ones', async (test) => {
  const estimates = createCostEstimates();
  const random = createSeededRandom(3);
  for (let call = 0; call < 40_000; call += 1) {
    estimates.observe(keyOf('r', `frequent-${call % 20}`), call % 2 === 0 ? 100 : 300);
    estimates.observe(keyOf('r', `rare-${random.nextInteger(1_000_000)}`), 200);
  }
  const kept = Array.from({ length: 20 }, (_, index) =>
    estimates.expected(keyOf('r', `frequent-${index}`)),
  ).filter((cost, index) => Math.abs(cost - (index % 2 === 0 ? 100 : 300)) < 40);
  test.ok(kept.length >= 18, `${kept.length} of 20 kept`);
});
