import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { drainServer } from './drainServer';

const DEADLINE_MILLISECONDS = 5_600;

function startDrain() {
  const clock = createFakeClock();
  const closedAt: number[] = [];
  const listener = {
    stopAccepting: () => {
      closedAt.push(clock.monotonicMilliseconds());
      return Promise.resolve();
    },
    poll: () => Promise.resolve(),
    closeConnections: () => undefined,
  };
  const load = { running: 0, inProgress: 0 };
  let endedAt: number | undefined;
  const drained = drainServer({
    clock,
    listener,
    running: () => load.running,
    inProgress: () => load.inProgress + load.running,
    deadline: DEADLINE_MILLISECONDS,
  }).then(() => {
    endedAt = clock.monotonicMilliseconds();
  });
  return { clock, load, closedAt, drained, endedAt: () => endedAt };
}

void t.test('an idle listener stays open for a grace period and is then drained', async (test) => {
  const { clock, closedAt, endedAt } = startDrain();
  await clock.advance(2_000);
  test.equal(closedAt.length, 0);
  await clock.advance(1_500);
  test.equal(closedAt.length, 1);
  test.ok((endedAt() ?? Infinity) < 3_500);
});

// Guards against running calls that fail because the listener is closed for their nested calls.
void t.test('the listener stays open while the upstream runs calls', async (test) => {
  const { clock, closedAt, endedAt, load } = startDrain();
  load.running = 1;
  await clock.advance(4_000);
  test.equal(closedAt.length, 0);
  load.running = 0;
  await clock.advance(1_000);
  test.equal(closedAt.length, 1);
  test.ok((endedAt() ?? Infinity) < 5_000);
});

// Guards against a process that still has open connections when it is killed at the stop limit.
void t.test('the drain always ends by its deadline', async (test) => {
  const { clock, closedAt, endedAt, load } = startDrain();
  load.running = 1;
  await clock.advance(DEADLINE_MILLISECONDS + 100);
  test.ok((closedAt[0] ?? Infinity) < DEADLINE_MILLISECONDS - 500);
  test.ok((endedAt() ?? Infinity) <= DEADLINE_MILLISECONDS + 50);
});
