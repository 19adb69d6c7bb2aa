import t from 'tap';
import { createFakeClock } from '@buckthornslip/common';

import { createPriorityCutoff } from './createPriorityCutoff';

const LOW = 3;
const NO_CUTOFF = 4;

void t.test(
  'a starved rank is cut off, and is admitted again when slots stay free',
  async (test) => {
    const clock = createFakeClock();
    const cutoff = createPriorityCutoff(clock);
    const runWindow = async (refusedOfTen: number, hasIdleSlot: boolean): Promise<number> => {
      for (let call = 0; call < 10; call += 1) {
        cutoff.recordArrival(LOW);
        if (call < refusedOfTen) cutoff.recordRefusal(LOW);
      }
      if (hasIdleSlot) cutoff.recordIdleSlot();
      await clock.advance(200);
      return cutoff.rank();
    };
    // Half of the calls get through: cutting off the rank would leave slots unused.
    test.equal(await runWindow(5, false), NO_CUTOFF);
    test.equal(await runWindow(5, false), NO_CUTOFF);
    // Guards against a cutoff that reacts to a single window.
    test.equal(await runWindow(10, false), NO_CUTOFF);
    test.equal(await runWindow(10, false), LOW);
    test.equal(await runWindow(0, true), LOW);
    test.equal(await runWindow(0, true), LOW);
    test.equal(await runWindow(0, true), NO_CUTOFF);
  },
);

void t.test('critical calls are never cut off', async (test) => {
  const clock = createFakeClock();
  const cutoff = createPriorityCutoff(clock);
  for (let window = 0; window < 5; window += 1) {
    for (let call = 0; call < 10; call += 1) {
      cutoff.recordArrival(0);
      cutoff.recordRefusal(0);
    }
    await clock.advance(200);
  }
  test.equal(cutoff.rank(), NO_CUTOFF);
});

void t.test('a cutoff ends when no calls arrive any more', async (test) => {
  // Guards against entry nodes that refuse a rank indefinitely because its calls never reach the queue.
  const clock = createFakeClock();
  const cutoff = createPriorityCutoff(clock);
  for (let window = 0; window < 2; window += 1) {
    for (let call = 0; call < 10; call += 1) {
      cutoff.recordArrival(LOW);
      cutoff.recordRefusal(LOW);
    }
    await clock.advance(200);
  }
  test.equal(cutoff.rank(), LOW);
  await clock.advance(10_000);
  test.equal(cutoff.rank(), NO_CUTOFF);
});
