import { createAdmissionController } from '@buckthornslip/admission';
import type { AdmissionController, AdmissionPermit } from '@buckthornslip/admission';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { AccountId, Priority } from '@buckthornslip/common';
import t from 'tap';

const SEED = Number(process.env.PROPERTY_SEED ?? 20_261_206);
const COST = 100;
const SLOTS = 20;

const requestOf = (
  costMilliseconds = COST,
  priority: Priority = 'normal',
  remaining = 10_000,
  account = 'account',
) => ({
  account: account as AccountId,
  priority,
  depth: 0,
  remainingMilliseconds: remaining,
  isolated: false,
  costMilliseconds,
});

function createUpstream(estimatesWork = true, slots = SLOTS) {
  const clock = createFakeClock();
  const admission = createAdmissionController({ clock, adaptsToLatency: false, estimatesWork });
  admission.setCapacity({
    state: 'ready',
    slots,
    coldStartMilliseconds: 0,
    queueTargetMilliseconds: 400,
  });
  return { clock, admission };
}

const startCall = (admission: AdmissionController, cost = COST): AdmissionPermit => {
  const admitted = admission.tryAdmit(requestOf(cost));
  if (!admitted?.ok) throw new Error('not admitted');
  return admitted.value;
};

// Guards against work that is forgotten or left over when calls start, wait and end.
void t.test('work is that of the running and the queued calls', async (test) => {
  const { admission, clock } = createUpstream(true, 2);
  const first = startCall(admission);
  const second = startCall(admission, 300);
  void admission.admit(requestOf(50));
  test.equal(admission.load().workMilliseconds, 450);
  await clock.advance(40);
  test.equal(admission.load().workMilliseconds, 60 + 260 + 50);
  first.release('cancelled');
  test.equal(admission.load().workMilliseconds, 260 + 50);
  second.release('cancelled');
  test.equal(admission.load().workMilliseconds, 50);
  test.same(Object.keys(createUpstream(false).admission.load()).includes('speed'), false);
});

// Guards against a stalled upstream that looks idle once its calls have outlasted their estimates, and against one call
// that excludes an upstream.
void t.test('calls that outlast their estimates add work, up to a bound', async (test) => {
  const { admission, clock } = createUpstream();
  Array.from({ length: 10 }).forEach(() => startCall(admission));
  await clock.advance(COST);
  test.equal(admission.load().workMilliseconds, (10 * COST) / 2);
  await clock.advance(9 * COST);
  test.equal(admission.load().workMilliseconds, 10 * 5 * COST);
  await clock.advance(1_000 * COST);
  test.equal(admission.load().workMilliseconds, 10 * 8 * COST);
});

// Guards against a speed that follows a change too late, or that one call determines.
void t.test('the speed follows the upstream within a second', async (test) => {
  const { admission, clock } = createUpstream();
  const run = async (factor: number, milliseconds: number): Promise<number> => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += COST * factor) {
      const permits = Array.from({ length: 10 }, () => startCall(admission));
      await clock.advance(COST * factor);
      permits.forEach((permit) => permit.release('completed'));
    }
    return admission.load().speed!;
  };
  const usual = await run(1, 3_000);
  test.ok(Math.abs(usual - 1) < 0.01, `${usual}`);
  const slow = await run(2.5, 1_000);
  test.ok(slow < 0.6 && slow > 0.35, `${slow}`);
  const permit = startCall(admission);
  await clock.advance(1);
  permit.release('completed');
  test.ok(admission.load().speed! < 0.8, `${admission.load().speed}`);
});

/** Sends calls of two ranks for four seconds to an upstream that gets twice what it takes. Returns what became of each. */
async function sendTooMany(estimatesWork: boolean, seed: number) {
  const { admission, clock } = createUpstream(estimatesWork);
  const random = createSeededRandom(seed);
  const fates: { kind: string; waited: number; isInTime: boolean }[] = [];
  const send = async (id: number, request: ReturnType<typeof requestOf>, took: number) => {
    const sent = clock.monotonicMilliseconds();
    const admitted = await admission.admit(request);
    const waited = clock.monotonicMilliseconds() - sent;
    const isInTime = admitted.ok && waited + took <= request.remainingMilliseconds;
    fates[id] = { kind: admitted.ok ? 'started' : admitted.error.kind, waited, isInTime };
    if (!admitted.ok) return;
    await clock.sleep(took);
    admitted.value.release('completed');
  };
  const perMillisecond = (2 * SLOTS) / COST;
  for (let elapsed = 0, id = 0; elapsed < 4_000; elapsed += 1) {
    const isBurst = elapsed % 1_000 < 500;
    const arrivals = Math.floor(perMillisecond * (isBurst ? 2 : 0.5) + random.next());
    for (let index = 0; index < arrivals; index += 1, id += 1) {
      const priority = random.next() < 0.5 ? 'high' : 'low';
      const took = -COST * Math.log(1 - random.next());
      // One account sends most calls; the fair queue lets the few calls of the others pass them.
      const account = random.next() < 0.8 ? 'heavy' : `light-${random.nextInteger(20)}`;
      void send(id, requestOf(COST, priority, 150 + 300 * random.next(), account), took);
    }
    await clock.advance(1);
  }
  await clock.advance(3_000);
  return fates;
}

// Guards against calls that wait without hope, and against the refusal of calls that would have been served in time.
void t.test(
  'calls that can not start in time are refused at once, others are not',
  async (test) => {
    const without = await sendTooMany(false, SEED);
    const fates = await sendTooMany(true, SEED);
    const refusedAtOnce = fates.flatMap(({ kind, waited }, id) => {
      if (kind !== 'deadline-unreachable' || waited > 0) return [];
      const other = without[id]!;
      // Calls that both refuse on arrival had less time left than a call takes.
      return other.kind === kind && other.waited === 0 ? [] : [other];
    });
    const inTimeOtherwise = refusedAtOnce.filter(({ isInTime }) => isInTime).length;
    const before = without.filter(({ isInTime }) => isInTime).length;
    const after = fates.filter(({ isInTime }) => isInTime).length;
    const expired = without.filter(
      ({ kind, waited }) => kind === 'deadline-unreachable' && waited > 0,
    );
    const refused = refusedAtOnce.length;
    test.comment(`${expired.length} waited in vain without the check`);
    test.comment(`${refused} refused at once, ${inTimeOtherwise} of them in time otherwise`);
    test.comment(`in time: ${before} without, ${after} with the check`);
    test.ok(refused > 0);
    test.ok(inTimeOtherwise <= 0.01 * refused);
    test.ok(after >= 0.995 * before);
  },
);

// Guards against a speed of 0 / 0: after two hours without a call, the sums of its cost and time underflow before their count.
void t.test('the speed stays a number for however long the upstream is idle', async (test) => {
  const { admission, clock } = createUpstream();
  const permit = startCall(admission, 0.1);
  await clock.advance(0.1);
  permit.release('completed');
  const speeds: unknown[] = [];
  await clock.advance(7_430_000);
  for (let second = 0; second < 40; second += 1) {
    await clock.advance(1_000);
    const { speed } = admission.load();
    // Reads decay the sums, so that each of these steps underflows at another point.
    speeds.push(speed);
  }
  test.ok(speeds.every(Number.isFinite), speeds.join(' '));
});
