import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createNestedShares } from './createNestedShares';

const route = 'read';

// Guards against refusing calls at the entry of routes that make no nested calls.
void t.test('a route without nested calls has no share', async (test) => {
  const shares = createNestedShares(createFakeClock());
  shares.record({ route, isParent: false, isRefused: false });
  test.equal(shares.shareOf(route), undefined);
});

// Guards against a share of 0, which means on the wire that it is not known, and against one that outlives its runs.
void t.test('the share follows the runs of the last second', async (test) => {
  const clock = createFakeClock();
  const shares = createNestedShares(clock);
  shares.record({ route, isParent: true, isRefused: true });
  test.equal(shares.shareOf(route), undefined, 'one run is no overload');
  for (let run = 0; run < 1_000; run += 1)
    shares.record({ route, isParent: true, isRefused: true });
  const least = shares.shareOf(route);
  test.ok(least !== undefined && least > 0 && least < 0.1, `${least}`);
  await clock.advance(3_000);
  test.equal(shares.shareOf(route), undefined, 'no recent run');
  for (let run = 0; run < 10; run += 1) shares.record({ route, isParent: false, isRefused: false });
  test.ok((shares.shareOf(route) ?? 0) > 0.9, `${shares.shareOf(route)}`);
});

// Guards against memory that grows with every route of every policy.
void t.test('the number of routes is bounded, and idle ones are evicted', async (test) => {
  const clock = createFakeClock();
  const shares = createNestedShares(clock);
  for (let index = 0; index < 4_000; index += 1)
    shares.record({ route: `${index % 2_000}`, isParent: true, isRefused: false });
  test.equal(shares.shareOf('0'), 1);
  test.equal(shares.shareOf('1999'), undefined);
  await clock.advance(20_000);
  for (let run = 0; run < 2; run += 1)
    shares.record({ route: 'late', isParent: true, isRefused: false });
  test.equal(shares.shareOf('late'), 1);
});
