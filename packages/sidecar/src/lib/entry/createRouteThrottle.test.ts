import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import t from 'tap';

import { createRouteThrottle } from './createRouteThrottle';

const SEED = 20_261_204;
const CALL_MILLISECONDS = 300;

/** Simulates calls to services that complete a number of calls per second and fail the others after some work. */
async function simulate(perSecond: number, capacity: (second: number) => number, seconds: number) {
  const clock = createFakeClock();
  const throttle = createRouteThrottle(clock, createSeededRandom(SEED));
  const bySecond = Array.from({ length: seconds }, () => ({ started: 0, served: 0 }));
  const stepMilliseconds = 1_000 / perSecond;
  let budget = 0;
  for (let now = 0; now < seconds * 1_000; now += stepMilliseconds) {
    const second = bySecond[Math.floor(now / 1_000)]!;
    const limit = capacity(now / 1_000);
    budget = Math.min(limit / 5, budget + limit / perSecond);
    const call = throttle.tryStart('kind');
    if (call) {
      second.started += 1;
      const isServed = budget >= 1;
      if (isServed) {
        budget -= 1;
        second.served += 1;
      }
      clock.setTimer(CALL_MILLISECONDS, () => call.finish(isServed));
    }
    await clock.advance(stepMilliseconds);
  }
  return bySecond;
}

const sum = (figures: readonly number[]): number => figures.reduce((total, one) => total + one, 0);

// Guards against wasted work at four times the capacity: calls are started and then fail at a service deep in the call
// graph.
void t.test('at four times the capacity few calls are started that fail', async (test) => {
  const seconds = (await simulate(200, () => 50, 12)).slice(4);
  const started = sum(seconds.map((one) => one.started));
  const served = sum(seconds.map((one) => one.served));
  test.ok(served >= 0.9 * 50 * seconds.length, `${served} served`);
  test.ok(started <= 1.6 * served, `${started} started for ${served} served`);
});

// Guards against throttling calls to healthy services.
void t.test('no call is throttled while calls succeed', async (test) => {
  const seconds = await simulate(100, () => 200, 10);
  const started = sum(seconds.map((one) => one.started));
  test.ok(started >= 0.995 * 1_000, `${started} of 1000 started`);
});

// Guards against an overload that persists after its cause has ended.
void t.test(
  'all calls are let through within five seconds after the capacity recovers',
  async (test) => {
    const seconds = await simulate(100, (second) => (second < 6 ? 10 : 200), 14);
    const after = seconds.slice(11);
    test.ok(
      after.every(({ served }) => served >= 95),
      JSON.stringify(after),
    );
  },
);

// Guards against a node with few calls of a class that throttles them long after the services have recovered.
void t.test('a class with few calls recovers as fast', async (test) => {
  const seconds = await simulate(8, (second) => (second < 6 ? 0 : 200), 16);
  const before = sum(seconds.slice(3, 6).map(({ started }) => started));
  const after = seconds.slice(12);
  test.ok(before <= 16, `${before} of 24 failing calls started`);
  test.ok(
    after.every(({ served }) => served >= 7),
    JSON.stringify(seconds),
  );
});
