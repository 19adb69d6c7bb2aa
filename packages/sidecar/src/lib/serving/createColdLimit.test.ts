import type { AdmissionRequest } from '@buckthornslip/admission';
import t from 'tap';

import { coldService, createColdFixture } from '../testing/createColdFixture';

const INTERVAL_MILLISECONDS = 1_500;
const SLOW_START_MILLISECONDS = 5_000;
const PER_SECOND = 20;
const SLOTS = 64;

const request: AdmissionRequest = {
  account: undefined,
  priority: 'normal',
  depth: 0,
  remainingMilliseconds: 5_000,
  isolated: false,
};

/** A cold limit at an upstream that takes 100 ms for each call. */
function createFixture(...service: Parameters<typeof createColdFixture>) {
  const fixture = createColdFixture(...service);
  const { admission, clock } = fixture;
  const starts: number[] = [];
  const refusals: string[] = [];
  const send = async (): Promise<void> => {
    const admitted = await admission.admit(request);
    if (!admitted.ok) {
      refusals.push(admitted.error.kind);
      return;
    }
    starts.push(clock.monotonicMilliseconds());
    await clock.sleep(100);
    admitted.value.release('completed');
  };
  /** Sends 200 calls per second and returns the most starts in any second, and all. */
  const play = async (milliseconds: number) => {
    starts.length = 0;
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 5) {
      void send();
      await clock.advance(5);
    }
    const inSecond = starts.map(
      (at, index) => starts.slice(index).filter((other) => other <= at + 1_000).length,
    );
    return { most: Math.max(0, ...inSecond), all: starts.length };
  };
  return { ...fixture, play, refusals, send, starts };
}

const ALLOWED = 1.5 * PER_SECOND + 8;

// Guards against a limit that is exceeded at the beginning of the cold time, that starves the upstream, or that outlasts it.
void t.test('calls are limited while the upstream is cold', async (test) => {
  const { admission, announce, causes, limit, play } = createFixture();
  announce(1, SLOW_START_MILLISECONDS);
  const cold = await play(4_500);
  test.ok(cold.most < ALLOWED, `${cold.most} in a second`);
  test.ok(cold.all > 0.9 * PER_SECOND * 4.5, `${cold.all} in 4.5 s`);
  test.ok(admission.load().limit <= 3, `${admission.load().limit} calls reported`);
  test.equal(limit.leftMilliseconds(), 500);
  await play(500);
  const warm = await play(1_000);
  test.ok(warm.most > 150, `${warm.most} in a second`);
  test.same(causes, ['announcement']);
});

// Guards against queued calls that all start when their upstream has just become cold, or that wait until it is too late for
// another attempt.
void t.test('queued calls of an upstream that becomes cold start slowly', async (test) => {
  const { admission, announce, clock, refusals, send, starts } = createFixture();
  announce(1, 0);
  for (let call = 0; call < SLOTS + 40; call += 1) void send();
  await clock.advance(50);
  test.equal(starts.length, SLOTS);
  test.equal(admission.load().queued, 40);
  announce(2, 5_000);
  starts.length = 0;
  await clock.advance(1_000);
  test.ok(starts.length >= 5 && starts.length < ALLOWED, `${starts.length} calls`);
  test.equal(refusals.length, 40 - starts.length);
  test.same([...new Set(refusals)], ['queue-timeout']);
  test.equal(admission.load().queued, 0);
});

// Guards against an announcement from before the end of an evacuation that arrives late and ends the limit.
void t.test('after an evacuation, only a later announcement ends the limit', async (test) => {
  const { announce, causes, clock, limit } = createFixture();
  for (const sequence of [1, 2, 3]) {
    announce(sequence, 0);
    await clock.advance(INTERVAL_MILLISECONDS);
  }
  // The fourth is sent now and arrives 1.2 s later; the evacuation ends in between.
  await clock.advance(200);
  limit.startAfterEvacuation();
  test.equal(limit.leftMilliseconds(), SLOW_START_MILLISECONDS);
  await clock.advance(1_000);
  announce(4, 0);
  test.equal(limit.leftMilliseconds(), SLOW_START_MILLISECONDS - 1_000);
  await clock.advance(300);
  announce(5, 700);
  test.equal(limit.leftMilliseconds(), 700);
  await clock.advance(700);
  test.equal(limit.leftMilliseconds(), 0);
  limit.startAfterEvacuation();
  await clock.advance(SLOW_START_MILLISECONDS);
  test.equal(limit.leftMilliseconds(), 0, 'without an announcement, it ends after the slow start');
  test.same(causes, ['evacuation-ended', 'evacuation-ended']);
});

// Guards against a limit of an earlier upstream that is applied to its successor.
void t.test('a new start of the upstream states its own cold time', async (test) => {
  const { announce, clock, limit } = createFixture();
  announce(9, 0);
  limit.startAfterEvacuation();
  await clock.advance(100);
  announce(1, 0, 50);
  test.equal(limit.leftMilliseconds(), 0);
});

// Guards against a cold limit that lifts the limit that the upstream states, or the other way round.
void t.test('the lower one of a cold and a stated limit applies', async (test) => {
  const { admission, announce, play } = createFixture();
  admission.setRateLimit(5);
  announce(1, 60_000);
  const both = await play(4_000);
  test.ok(both.all >= 18 && both.all <= 4 * 5 + 5, `${both.all} in 4 s`);
  admission.setRateLimit(undefined);
  await play(1_000);
  const cold = await play(4_000);
  test.ok(cold.all > 70 && cold.most < ALLOWED, `${cold.all} in 4 s, ${cold.most} in a second`);
  admission.setRateLimit(100);
  test.ok((await play(2_000)).most < ALLOWED);
});

// Guards against a step of the wall clock that ends the limit early or prolongs it.
void t.test('steps of the wall clock change nothing', async (test) => {
  const { announce, clock, limit, play } = createFixture();
  announce(1, 3_000);
  clock.stepWallClock(60_000);
  test.ok((await play(1_500)).most < ALLOWED);
  clock.stepWallClock(-120_000);
  test.ok((await play(1_400)).most < ALLOWED);
  test.equal(limit.leftMilliseconds(), 100);
  await clock.advance(100);
  test.ok((await play(1_000)).most > 150);
});

// Guards against a restarted node that overloads a cold upstream before it has a policy, and against a limit that nobody asked for.
void t.test('the settings of the service apply as soon as they are known', async (test) => {
  const unconfigured = createFixture({ ...coldService, warmUpPerSecond: undefined });
  unconfigured.announce(1, 60_000);
  test.ok((await unconfigured.play(1_000)).most > 150, 'without a rate there is no limit');
  test.same(unconfigured.causes, []);
  unconfigured.limit.configure(coldService);
  await unconfigured.play(1_000);
  test.ok((await unconfigured.play(1_000)).most < ALLOWED);
  test.same(unconfigured.causes, ['configuration']);
  unconfigured.limit.configure(undefined);
  test.ok((await unconfigured.play(1_000)).most > 150);

  const { announce, limit, play } = createFixture('unknown');
  limit.startAfterEvacuation();
  announce(1, 60_000);
  const { most } = await play(2_000);
  test.ok(most <= 8, `${most} in a second`);
});
