import { getEventListeners } from 'node:events';

import t from 'tap';
import { createFakeClock } from '@buckthornslip/common';

void t.test('timers fire in order of their due time and not before it', async (test) => {
  const clock = createFakeClock();
  const fired: string[] = [];
  clock.setTimer(20, () => fired.push('late'));
  clock.setTimer(10, () => fired.push('early'));
  const cancel = clock.setTimer(15, () => fired.push('cancelled'));
  cancel();
  await clock.advance(9);
  test.same(fired, []);
  await clock.advance(11);
  test.same(fired, ['early', 'late']);
  test.equal(clock.monotonicMilliseconds(), 20);
});

void t.test(
  'timers with the same due time fire in the order in which they were set',
  async (test) => {
    const clock = createFakeClock();
    const fired: number[] = [];
    const expected = Array.from({ length: 50 }, (_, index) => index);
    clock.setTimer(5, () => {
      clock.setTimer(5, () => fired.push(50));
    });
    expected.forEach((index) => clock.setTimer(10, () => fired.push(index)));
    await clock.advance(10);
    test.same(fired, [...expected, 50]);
  },
);

void t.test(
  'a timer cancelled by another one with the same due time does not fire',
  async (test) => {
    const clock = createFakeClock();
    const fired: string[] = [];
    let cancel = (): void => undefined;
    clock.setTimer(10, () => cancel());
    cancel = clock.setTimer(10, () => fired.push('cancelled'));
    await clock.advance(10);
    test.same(fired, []);
  },
);

void t.test('a step of the wall clock does not change the monotonic clock', async (test) => {
  const clock = createFakeClock();
  const before = clock.wallMilliseconds();
  clock.stepWallClock(-5_000);
  test.equal(clock.wallMilliseconds(), before - 5_000);
  test.equal(clock.monotonicMilliseconds(), 0);
});

void t.test('a finished sleep leaves no listener on its signal', async (test) => {
  const clock = createFakeClock();
  const controller = new AbortController();
  void clock.sleep(10, controller.signal);
  test.equal(getEventListeners(controller.signal, 'abort').length, 1);
  await clock.advance(10);
  test.equal(getEventListeners(controller.signal, 'abort').length, 0);
});

void t.test('an aborted sleep ends at once', async (test) => {
  const clock = createFakeClock();
  const controller = new AbortController();
  const sleeping = clock.sleep(10, controller.signal);
  controller.abort();
  await sleeping;
  test.equal(clock.monotonicMilliseconds(), 0);
});
