import { createFakeClock } from '@buckthornslip/common';
import type { StoreEra } from '@buckthornslip/platform';
import { NO_STORE_ERA } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createRestoreMonitor } from './createRestoreMonitor';

const era = (value: number): StoreEra => value as StoreEra;

function createMonitor() {
  const clock = createFakeClock();
  const restored: number[] = [];
  const monitor = createRestoreMonitor({
    clock,
    logger: createSilentLogger(),
    onRestored: (value) => restored.push(value),
  });
  return { clock, monitor, restored };
}

// Guards against a restore that counts once for the store and once for each node that tells of it.
void t.test('each era is reported once, whoever states it', async (test) => {
  const { monitor, restored } = createMonitor();
  monitor.begin(NO_STORE_ERA);
  monitor.hear(era(1), 'a');
  monitor.hear(era(1), 'b');
  monitor.observe(era(1));
  monitor.observe(era(3));
  monitor.hear(era(3), 'a');
  monitor.hear(era(2), 'b');
  test.same(restored, [1, 3]);
});

// Guards against a node that starts just after a restore and removes others, whose records are not written again yet.
void t.test('a node that starts in a later era does not trust the store at first', async (test) => {
  const { clock, monitor, restored } = createMonitor();
  test.equal(monitor.sinceMilliseconds(), Infinity);
  monitor.observe(era(2));
  monitor.begin(era(2));
  await clock.advance(100);
  test.equal(monitor.sinceMilliseconds(), 100);
  test.same(restored, []);
});
