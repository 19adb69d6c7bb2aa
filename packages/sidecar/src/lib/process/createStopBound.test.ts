import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createStopBound } from './createStopBound';

const ROUTE = 'book';

const STOP_MILLISECONDS = 5_600;

const LONG_MILLISECONDS = 8_000;

function createFixture() {
  const clock = createFakeClock();
  const bound = createStopBound(clock);
  return { clock, bound };
}

// Guards against refusing calls of a node that is not stopping.
void t.test('all calls fit while the node is not stopping', async (test) => {
  const { bound } = createFixture();
  test.ok(bound.fits({ route: ROUTE, timeoutMilliseconds: Infinity }));
});

// Guards against accepting a call that the end of the process cuts off while it runs.
void t.test('a call fits if its timeout ends before the process', async (test) => {
  const { bound, clock } = createFixture();
  bound.start(clock.monotonicMilliseconds() + STOP_MILLISECONDS);
  test.ok(bound.fits({ route: ROUTE, timeoutMilliseconds: 2_000 }));
  test.notOk(bound.fits({ route: ROUTE, timeoutMilliseconds: LONG_MILLISECONDS }));
  await clock.advance(4_400);
  test.notOk(bound.fits({ route: ROUTE, timeoutMilliseconds: 2_000 }));
  test.ok(bound.fits({ route: ROUTE, timeoutMilliseconds: 500 }));
});

// Guards against refusing calls that usually end long before their timeout, which fails the calls that need them.
void t.test('a call fits if calls of its route usually end in time', async (test) => {
  const { bound, clock } = createFixture();
  for (let calls = 0; calls < 50; calls += 1) bound.observe(ROUTE, 100 + calls);
  bound.start(clock.monotonicMilliseconds() + STOP_MILLISECONDS);
  await clock.advance(4_400);
  const call = { route: ROUTE, timeoutMilliseconds: LONG_MILLISECONDS };
  test.ok(bound.fits(call));
  test.notOk(bound.fits({ ...call, route: 'other' }), 'nothing is known of another route');
  await clock.advance(900);
  test.notOk(bound.fits(call));
});

// Guards against refusing calls to an upstream only because this node has not seen one of their route.
void t.test('a call may fit while nothing is known of its route', async (test) => {
  const { bound, clock } = createFixture();
  const call = { route: ROUTE, timeoutMilliseconds: LONG_MILLISECONDS };
  test.ok(bound.mayFit(call));
  bound.start(clock.monotonicMilliseconds() + STOP_MILLISECONDS);
  test.ok(bound.mayFit(call));
  bound.observe(ROUTE, 4_000);
  test.notOk(bound.mayFit(call));
  test.ok(bound.mayFit({ ...call, timeoutMilliseconds: 1_000 }));
});

// Guards against a bound that a few quick calls lower below the time of the slow ones.
void t.test('the usual time follows the slower calls of a route', async (test) => {
  const { bound, clock } = createFixture();
  for (let calls = 0; calls < 40; calls += 1) bound.observe(ROUTE, calls % 5 === 0 ? 1_500 : 20);
  bound.start(clock.monotonicMilliseconds() + STOP_MILLISECONDS);
  await clock.advance(4_400);
  const call = { route: ROUTE, timeoutMilliseconds: LONG_MILLISECONDS };
  test.notOk(bound.fits(call));
  for (let calls = 0; calls < 200; calls += 1) bound.observe(ROUTE, 20);
  test.ok(bound.fits(call), 'a route that has become fast is accepted again');
});
