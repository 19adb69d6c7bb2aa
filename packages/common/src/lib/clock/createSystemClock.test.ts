import t from 'tap';
import { createSystemClock } from '@buckthornslip/common';

const clock = createSystemClock();
// The clock's timers do not keep the process alive.
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

/** Delays with and without fractions of a millisecond, in milliseconds. */
const DELAYS = Array.from({ length: 50 }, (_, index) => 10 + index / 7);

void t.test('sleep ends early when its signal is aborted', async (test) => {
  const controller = new AbortController();
  const slept = clock.sleep(60_000, controller.signal);
  controller.abort();
  await slept;
  test.pass('the sleep ended');
});

// Guards against work that is skipped for good because a timer fired before the deadline that its callback compares with.
void t.test('a timer does not fire before its time', async (test) => {
  const early = await Promise.all(
    DELAYS.map(async (delay) => {
      const dueAt = clock.monotonicMilliseconds() + delay;
      await clock.sleep(delay);
      return clock.monotonicMilliseconds() < dueAt;
    }),
  );
  test.equal(early.filter(Boolean).length, 0);
});

// Guards against a timer of the process that is started again and can then no longer be cancelled.
void t.test('a timer that is waiting for the rest of its time is cancelled', async (test) => {
  const calledAfterCancel = await Promise.all(
    DELAYS.map(async (delay) => {
      let isCalled = false;
      const cancel = clock.setTimer(delay, () => {
        isCalled = true;
      });
      // Node fires timers of the same delay one after the other.
      await new Promise((resolve) => {
        setTimeout(resolve, Math.ceil(delay));
      });
      if (isCalled) return false;
      cancel();
      await clock.sleep(10);
      return isCalled;
    }),
  );
  test.equal(calledAfterCancel.filter(Boolean).length, 0);
});

// Guards against a delay above the range of Node's timers, which would fire after a millisecond.
void t.test('a delay of a month does not fire at once', async (test) => {
  let isCalled = false;
  const cancel = clock.setTimer(30 * 24 * 3_600_000, () => {
    isCalled = true;
  });
  await clock.sleep(20);
  cancel();
  test.notOk(isCalled);
});
