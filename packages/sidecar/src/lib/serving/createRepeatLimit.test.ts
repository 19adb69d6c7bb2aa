import fc from 'fast-check';
import t from 'tap';

import { createRepeatLimit } from './createRepeatLimit';

const SEED = 20_261_204;
const UPSTREAMS = 4;
const SETTINGS = { ratio: 0.2, burst: 20 };

// Guards against upstreams that together get more repeated calls than their service may.
void t.test('the limits of all upstreams keep the ratio and the burst', async (test) => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(UPSTREAMS - 1), fc.boolean()), { maxLength: 600 }),
      (steps) => {
        const limits = Array.from({ length: UPSTREAMS }, () =>
          createRepeatLimit({ ...SETTINGS, upstreamCount: () => UPSTREAMS }),
        );
        let first = 0;
        let repeated = 0;
        return steps.every(([upstream, isRepeat]) => {
          if (!isRepeat) {
            first += 1;
            limits[upstream]!.countFirstAttempt();
          } else if (limits[upstream]!.tryRepeat()) repeated += 1;
          return repeated <= SETTINGS.ratio * first + SETTINGS.burst + 1e-9;
        });
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
  test.pass('the bound held in 500 runs');
});

// Guards against a burst that each restart of a node renews.
void t.test('a node that restarts has one repeated call', async (test) => {
  const limit = createRepeatLimit({ ...SETTINGS, upstreamCount: () => UPSTREAMS });
  test.ok(limit.tryRepeat());
  test.notOk(limit.tryRepeat());
  for (let first = 0; first < 5; first += 1) limit.countFirstAttempt();
  test.ok(limit.tryRepeat());
});

// Guards against an upstream that never gets a repeated call because its share of the burst is below one.
void t.test('an upstream of a large service gets a repeated call', async (test) => {
  const limit = createRepeatLimit({ ...SETTINGS, upstreamCount: () => 1_000 });
  test.ok(limit.tryRepeat());
  test.notOk(limit.tryRepeat());
});
