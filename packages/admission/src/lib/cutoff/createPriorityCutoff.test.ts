import t from 'tap';
import { createFakeClock } from '@buckthornslip/common';

import { createPriorityCutoff } from './createPriorityCutoff';

const LOW = 3;
const NOTHING_CUT = 4;

void t.test('a starved rank is cut off, and comes back when slots stay free', async (test) => {
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
  // Half of the calls get through: cutting the rank off would leave slots unused.
  test.equal(await runWindow(5, false), NOTHING_CUT);
  test.equal(await runWindow(5, false), NOTHING_CUT);
  // Guards against a cut-off that follows a single window.
  test.equal(await runWindow(10, false), NOTHING_CUT);
  test.equal(await runWindow(10, false), LOW);
  test.equal(await runWindow(0, true), LOW);
  test.equal(await runWindow(0, true), LOW);
  test.equal(await runWindow(0, true), NOTHING_CUT);
});

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
  test.equal(cutoff.rank(), NOTHING_CUT);
});

void t.test('a cut-off ends when no calls arrive any more', async (test) => {
  // Guards against entry nodes that refuse a rank for ever because its calls never reach the queue.
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
  test.equal(cutoff.rank(), NOTHING_CUT);
});
