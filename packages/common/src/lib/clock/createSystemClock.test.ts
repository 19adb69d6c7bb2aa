import t from 'tap';
import { createSystemClock } from '@buckthornslip/common';

void t.test('sleep ends early when its signal is aborted', async (test) => {
  const clock = createSystemClock();
  const controller = new AbortController();
  const slept = clock.sleep(60_000, controller.signal);
  controller.abort();
  await slept;
  test.pass('the sleep ended');
});
