import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createCallScope } from './createCallScope';
import { createIdleTimer } from './createIdleTimer';

void t.test('an idle timer runs from its last reset and not while paused', async (test) => {
  const clock = createFakeClock();
  let idleCount = 0;
  const idleTimer = createIdleTimer(clock, 100, () => {
    idleCount += 1;
  });
  await clock.advance(60);
  idleTimer.reset();
  await clock.advance(60);
  test.equal(idleCount, 0, 'reset in time');
  idleTimer.pause();
  await clock.advance(500);
  test.equal(idleCount, 0, 'paused');
  idleTimer.reset();
  await clock.advance(101);
  test.equal(idleCount, 1);
  await clock.advance(500);
  test.equal(idleCount, 1, 'reported once');
});

void t.test('a call is cancelled once, at the latest after deadline and grace', async (test) => {
  const clock = createFakeClock();
  const scope = createCallScope(clock, 100, 25);
  const calls: (string | undefined)[] = [];
  scope.onCancel(() => calls.push(scope.cancelReason()));
  const removeCallback = scope.onCancel(() => calls.push('taken back'));
  removeCallback();
  await clock.advance(110);
  test.ok(scope.remainingMilliseconds() < 0);
  test.equal(scope.signal.aborted, false, 'within the grace time');
  await clock.advance(20);
  scope.cancel('caller-gone');
  test.same(calls, ['deadline-exceeded']);
  test.equal(scope.signal.aborted, true);
  scope.onCancel(() => calls.push('late'));
  test.same(calls, ['deadline-exceeded', 'late'], 'a late callback is called immediately');
});
