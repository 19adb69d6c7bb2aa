import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createEffectiveAllowance } from './createEffectiveAllowance';

// Guards against refusing requests that were sent before a limit was lowered, and against a lower
// limit that never takes effect.
void t.test('a decrease takes effect after a grace period, an increase at once', async (test) => {
  const clock = createFakeClock();
  let configured = { ratePerSecond: 100, burst: 50 };
  const allowance = createEffectiveAllowance(clock, () => configured);
  configured = { ratePerSecond: 10, burst: 5 };
  test.same(allowance(), { ratePerSecond: 100, burst: 50 });
  await clock.advance(1_400);
  test.same(allowance(), { ratePerSecond: 100, burst: 50 });
  await clock.advance(200);
  test.same(allowance(), { ratePerSecond: 10, burst: 5 });
  configured = { ratePerSecond: 40, burst: 20 };
  test.same(allowance(), { ratePerSecond: 40, burst: 20 });
});
