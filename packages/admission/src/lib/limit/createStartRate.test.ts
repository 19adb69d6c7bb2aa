import type { Priority } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import { createAdmissionController } from '@buckthornslip/admission';
import t from 'tap';

const SEED = 20_261_205;

/** Window in which the upstream counts its calls, in milliseconds. */
const WINDOW_MILLISECONDS = 4_000;

const SERVICE_MILLISECONDS = 160;

/** Plays a load on an upstream with many slots that states a limit, and returns the times at which calls started. */
async function playLoad(perSecond: number, limitPerSecond: number | undefined, seconds: number) {
  const clock = createFakeClock();
  const random = createSeededRandom(SEED);
  const controller = createAdmissionController({ clock, adaptsToLatency: false });
  controller.setCapacity({
    state: 'ready',
    slots: 64,
    coldStartMilliseconds: 0,
    queueTargetMilliseconds: 400,
  });
  controller.setRateLimit(limitPerSecond);
  const starts: { readonly at: number; readonly priority: Priority }[] = [];
  const counts: Record<string, number> = { critical: 0, low: 0 };
  const call = async (priority: Priority): Promise<void> => {
    counts[priority] = (counts[priority] ?? 0) + 1;
    const request = {
      account: undefined,
      priority,
      depth: 0,
      remainingMilliseconds: 2_000,
      isolated: false,
    };
    const admitted = controller.tryAdmit(request) ?? (await controller.admit(request));
    if (!admitted.ok) return;
    starts.push({ at: clock.monotonicMilliseconds(), priority });
    await clock.sleep(SERVICE_MILLISECONDS);
    admitted.value.release('completed');
  };
  const end = seconds * 1_000;
  while (clock.monotonicMilliseconds() < end) {
    void call(random.next() < 0.25 ? 'critical' : 'low');
    await clock.advance((-Math.log(1 - random.next()) * 1_000) / perSecond);
  }
  return { starts, counts, load: controller.load() };
}

function mostInWindow(starts: readonly { readonly at: number }[]): number {
  const counts = starts.map(
    ({ at }, index) =>
      starts.slice(index).filter((other) => other.at < at + WINDOW_MILLISECONDS).length,
  );
  return Math.max(0, ...counts);
}

// Guards against an upstream that gets more calls than it has stated, and against a limit that is kept by refusing far below it.
void t.test('the limit of calls per second is kept and used at any load', async (test) => {
  for (const limit of [0.5, 3, 21.2, 90]) {
    const { starts } = await playLoad(2 * limit + 5, limit, 20);
    const most = mostInWindow(starts);
    const allowed = (1.5 * limit * WINDOW_MILLISECONDS) / 1_000 + 5;
    test.ok(most <= allowed, `${most} of ${allowed} at a limit of ${limit}`);
    test.ok(starts.length >= 0.9 * limit * 20, `${starts.length} in 20 s at a limit of ${limit}`);
  }
});

// Guards against calls that are delayed or refused although they are within the limit.
void t.test('a load below the limit is not refused', async (test) => {
  const { counts, starts } = await playLoad(15, 21.2, 20);
  const sent = (counts.critical ?? 0) + (counts.low ?? 0);
  test.equal(starts.length, sent);
});

// Guards against urgent calls that are refused while others use up the limit.
void t.test('urgent calls get the limit first', async (test) => {
  const { counts, starts } = await playLoad(60, 21.2, 20);
  const critical = starts.filter(({ priority }) => priority === 'critical').length;
  test.ok(critical >= 0.95 * (counts.critical ?? 0), `${critical} of ${counts.critical}`);
});

// Guards against other nodes that see free slots and go on sending calls to an upstream that may not start them.
void t.test('the reported load shows the limit', async (test) => {
  const limited = await playLoad(60, 21.2, 5);
  test.ok(limited.load.limit <= 6, `${limited.load.limit} calls may run`);
  const unlimited = await playLoad(60, undefined, 5);
  test.equal(unlimited.load.limit, 64);
});
