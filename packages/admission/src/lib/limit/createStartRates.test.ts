import { createFakeClock } from '@buckthornslip/common';
import * as fc from 'fast-check';
import t from 'tap';

import { coldStartCapacity } from './coldStartCapacity';
import { createStartRates } from './createStartRates';

const SEED = 20_261_206;
const RUNS = 400;

/** What a cold upstream takes in any second at a warm-up rate. */
const allowedIn = (perSecond: number): number => 1.5 * perSecond + 8;

/** Most starts in any window of one second that includes both of its ends. */
function mostInSecond(starts: readonly number[]): number {
  let most = 0;
  let first = 0;
  starts.forEach((at, index) => {
    while (at - (starts[first] as number) > 1_000) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

const anyRate = fc.oneof(fc.double({ min: 0.5, max: 40, noNaN: true }), fc.nat({ max: 2_000 }));

/** Phases of idle time, in which the bucket fills, and of attempts to start as many calls as possible at short intervals. */
const anyPhases = fc.array(
  fc.record({
    idle: fc.nat({ max: 3_000 }),
    interval: fc.integer({ min: 1, max: 40 }),
    attempts: fc.integer({ min: 1, max: 60 }),
  }),
  { minLength: 1, maxLength: 6 },
);

// Guards against a burst that crashes a cold upstream, whenever calls arrive and whatever it states besides.
void t.test('a cold upstream gets no more starts in any second than it takes', async (test) => {
  const stated = fc.option(fc.integer({ min: 1, max: 300 }), { nil: undefined });
  const property = fc.asyncProperty(anyRate, anyPhases, stated, async (rate, phases, limit) => {
    const clock = createFakeClock();
    const rates = createStartRates(clock);
    const starts: number[] = [];
    const startAll = (most: number): void => {
      for (let count = 0; count < most && rates.delayMilliseconds() === 0; count += 1) {
        rates.start();
        starts.push(clock.monotonicMilliseconds());
      }
    };
    startAll(50);
    // The calls before the cold time do not count.
    starts.length = 0;
    rates.setLimit('cold', rate);
    for (const [index, { attempts, idle, interval }] of phases.entries()) {
      if (index === 2) rates.setLimit('stated', limit);
      await clock.advance(idle);
      for (let attempt = 0; attempt < attempts; attempt += 1) {
        startAll(Infinity);
        await clock.advance(interval);
      }
    }
    // The rate is at least 0.5, and one call less than the bound is kept as a margin.
    return mostInSecond(starts) <= allowedIn(Math.max(0.5, rate)) - 1;
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  test.pass(`${RUNS} runs`);
});

// Guards against a margin that is used up at high rates, where calls that are sent late arrive together with later ones.
void t.test('the margin covers calls that are sent 50 ms late', async (test) => {
  for (const rate of [1, 12, 16, 20, 100, 1_000, 10_000]) {
    const most = coldStartCapacity(rate) + rate * 1.05;
    test.ok(most <= allowedIn(rate) - 1, `${most} at ${rate} per second`);
  }
});
