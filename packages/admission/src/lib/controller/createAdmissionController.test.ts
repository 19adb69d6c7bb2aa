import fc from 'fast-check';
import t from 'tap';
import { createFakeClock } from '@buckthornslip/common';
import type { AccountId, FakeClock, Priority } from '@buckthornslip/common';
import { createAdmissionController } from '@buckthornslip/admission';
import type {
  AdmissionController,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionPermit,
  UpstreamCapacity,
} from '@buckthornslip/admission';

const SEED = 20_261_204;

const capacityOf = (slots: number, changes: Partial<UpstreamCapacity> = {}): UpstreamCapacity => ({
  state: 'ready',
  slots,
  coldStartMilliseconds: 0,
  queueTargetMilliseconds: 100,
  ...changes,
});

const requestOf = (changes: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
  account: 'account' as AccountId,
  priority: 'normal',
  depth: 0,
  remainingMilliseconds: 1_000,
  isolated: false,
  ...changes,
});

type CallOutcome = AdmissionRefusal['kind'] | 'admitted';

/** Admits a call, runs it for the given time and returns the outcome of its admission. */
async function runCall(
  clock: FakeClock,
  controller: AdmissionController,
  request: AdmissionRequest,
  serviceMilliseconds: number,
): Promise<CallOutcome> {
  const admission = await controller.admit(request);
  if (!admission.ok) return admission.error.kind;
  void clock.sleep(serviceMilliseconds).then(() => admission.value.release('completed'));
  return 'admitted';
}

async function admitPermit(
  controller: AdmissionController,
  request: AdmissionRequest,
): Promise<AdmissionPermit> {
  const admission = await controller.admit(request);
  if (!admission.ok) throw new Error(`refused: ${admission.error.kind}`);
  return admission.value;
}

/** Sends calls of several sources at fixed intervals and counts their outcomes. */
async function countOutcomes(
  clock: FakeClock,
  controller: AdmissionController,
  sources: readonly { readonly request: AdmissionRequest; readonly everyMilliseconds: number }[],
): Promise<readonly Map<CallOutcome, number>[]> {
  const counts = sources.map(() => new Map<CallOutcome, number>());
  const send = async (index: number): Promise<void> => {
    const { request } = sources[index] as (typeof sources)[number];
    const outcome = await runCall(clock, controller, request, 20);
    counts[index]?.set(outcome, (counts[index]?.get(outcome) ?? 0) + 1);
  };
  for (let elapsed = 0; elapsed < 4_000; elapsed += 1) {
    sources.forEach((source, index) => {
      if (elapsed % source.everyMilliseconds === 0) void send(index);
    });
    await clock.advance(1);
  }
  await clock.advance(1_000);
  return counts;
}

const countRefused = (counts: Map<CallOutcome, number> | undefined): number =>
  [...(counts ?? [])].reduce((sum, [outcome, n]) => sum + (outcome === 'admitted' ? 0 : n), 0);

void t.test('critical calls are refused last at four times the capacity', async (test) => {
  // Guards against shedding by arrival order: 10 slots of 20 ms serve 500 calls/s, 2,000 arrive.
  const clock = createFakeClock();
  const controller = createAdmissionController({ clock });
  controller.setCapacity(capacityOf(10));
  const priorities: readonly Priority[] = ['critical', 'high', 'normal', 'low'];
  const sources = priorities.map((priority) => ({
    request: requestOf({ priority }),
    everyMilliseconds: priority === 'critical' ? 4 : 2,
  }));
  sources.push({ request: requestOf({ priority: 'low' }), everyMilliseconds: 4 });
  const [critical, high, normal, low] = await countOutcomes(clock, controller, sources);
  test.equal(countRefused(critical), 0);
  test.ok(countRefused(high) < countRefused(normal));
  test.ok(countRefused(normal) <= countRefused(low));
});

void t.test('an account at five times its share does not affect the others', async (test) => {
  // Guards against a shared first-in-first-out queue, which a surge of one account fills for all accounts.
  const refusalsAt = async (surge: number): Promise<readonly [number, number]> => {
    const clock = createFakeClock();
    const controller = createAdmissionController({ clock, queueCapacity: 60 });
    controller.setCapacity(capacityOf(10));
    const accounts = ['a', 'b', 'c', 'd'] as unknown as readonly AccountId[];
    const counts = await countOutcomes(
      clock,
      controller,
      accounts.map((account, index) => ({
        request: requestOf({ account }),
        everyMilliseconds: index === 0 ? 10 / surge : 10,
      })),
    );
    const ofOthers = counts.slice(1).reduce((sum, count) => sum + countRefused(count), 0);
    return [countRefused(counts[0]), ofOthers];
  };
  test.same(await refusalsAt(1), [0, 0]);
  const [ofSurge, ofOthers] = await refusalsAt(5);
  test.ok(ofSurge > 100);
  test.equal(ofOthers, 0);
});

void t.test('cancelling a queued call frees its place and refuses it as not run', async (test) => {
  const clock = createFakeClock();
  const controller = createAdmissionController({ clock, queueCapacity: 1 });
  controller.setCapacity(capacityOf(1));
  const permit = await admitPermit(controller, requestOf());
  const abort = new AbortController();
  const cancelled = controller.admit(requestOf(), abort.signal);
  test.equal(controller.load().queued, 1);
  abort.abort();
  test.same(await cancelled, { ok: false, error: { kind: 'caller-gone' } });
  const next = controller.admit(requestOf());
  permit.release('completed');
  permit.release('completed');
  test.ok((await next).ok);
  test.equal(controller.load().running, 1);
});

void t.test('an isolated call runs alone', async (test) => {
  const clock = createFakeClock();
  const controller = createAdmissionController({ clock });
  controller.setCapacity(capacityOf(4));
  const first = await admitPermit(controller, requestOf());
  const isolated = controller.admit(requestOf({ isolated: true, priority: 'high' }));
  const later = controller.admit(requestOf());
  await clock.advance(1);
  test.equal(controller.load().running, 1);
  first.release('completed');
  const admission = await isolated;
  test.equal(controller.load().running, 1);
  test.equal(controller.load().queued, 1);
  if (admission.ok) admission.value.release('completed');
  test.ok((await later).ok);
});

void t.test('draining refuses queued and new calls, and running calls finish', async (test) => {
  const clock = createFakeClock();
  const controller = createAdmissionController({ clock });
  controller.setCapacity(capacityOf(1));
  const permit = await admitPermit(controller, requestOf());
  const queued = controller.admit(requestOf());
  controller.setCapacity(capacityOf(1, { state: 'draining' }));
  const refusal = { ok: false, error: { kind: 'upstream-draining' } };
  test.same(await queued, refusal);
  test.same(await controller.admit(requestOf()), refusal);
  test.equal(controller.load().running, 1);
  permit.release('completed');
  test.equal(controller.load().running, 0);
});

void t.test(
  'a call that cannot meet its deadline is refused until the service time estimate has decayed',
  async (test) => {
    // Guards against an estimate from a slow phase that refuses all calls, so that no new sample corrects it.
    const clock = createFakeClock();
    const controller = createAdmissionController({ clock });
    controller.setCapacity(capacityOf(4));
    await runCall(clock, controller, requestOf(), 500);
    await clock.advance(500);
    const permit = await admitPermit(controller, requestOf());
    const short = requestOf({ remainingMilliseconds: 100 });
    test.same(await controller.admit(short), {
      ok: false,
      error: { kind: 'deadline-unreachable' },
    });
    await clock.advance(4_000);
    test.ok((await controller.admit(short)).ok);
    permit.release('completed');
  },
);

void t.test('the queue delay is bounded by the target and the deadline', async (test) => {
  const clock = createFakeClock();
  const controller = createAdmissionController({ clock });
  controller.setCapacity(capacityOf(1));
  await admitPermit(controller, requestOf());
  const byTarget = controller.admit(requestOf());
  const byDeadline = controller.admit(requestOf({ remainingMilliseconds: 40 }));
  await clock.advance(40);
  test.same(await byDeadline, { ok: false, error: { kind: 'deadline-unreachable' } });
  test.equal(controller.load().queued, 1);
  await clock.advance(60);
  test.same(await byTarget, { ok: false, error: { kind: 'queue-timeout' } });
});

void t.test('a cold upstream is ramped up to its slots', async (test) => {
  const clock = createFakeClock();
  const controller = createAdmissionController({ clock });
  controller.setCapacity(capacityOf(40, { coldStartMilliseconds: 1_000 }));
  test.equal(controller.load().limit, 10);
  await clock.advance(1_000);
  test.equal(controller.load().limit, 40);
});

type Step =
  | { readonly kind: 'admit'; readonly request: AdmissionRequest }
  | { readonly kind: 'release' | 'abort'; readonly index: number }
  | { readonly kind: 'capacity'; readonly slots: number }
  | { readonly kind: 'wait'; readonly milliseconds: number };

const requests = fc.record({
  account: fc.constantFrom('a', 'b', 'c') as unknown as fc.Arbitrary<AccountId>,
  priority: fc.constantFrom<Priority[]>('critical', 'high', 'normal', 'low'),
  depth: fc.nat(3),
  remainingMilliseconds: fc.integer({ min: 0, max: 300 }),
  isolated: fc.nat(9).map((value) => value === 0),
});

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant('admit' as const), request: requests }) },
    {
      weight: 5,
      arbitrary: fc.record({ kind: fc.constantFrom('release', 'abort'), index: fc.nat(9) }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('capacity' as const),
        slots: fc.integer({ min: 1, max: 5 }),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.nat(60) }),
    },
  ),
  { maxLength: 60, size: 'max' },
);

interface Waiter {
  readonly request: AdmissionRequest;
  readonly abort: AbortController;
}

/** Replays steps and returns the first violated rule. */
async function replay(sequence: readonly Step[]): Promise<string | undefined> {
  const clock = createFakeClock();
  const controller = createAdmissionController({ clock, queueCapacity: 8 });
  const waiters: Waiter[] = [];
  const running: { readonly permit: AdmissionPermit; readonly isolated: boolean }[] = [];
  let violation: string | undefined;
  let admitted = 0;
  let settled = 0;
  let requested = 0;

  const checkStart = (waiter: Waiter): void => {
    const { running: now, limit } = controller.load();
    if (now > limit) violation ??= `${now} run at a limit of ${limit}`;
    if (running.length > 1 && running.some((call) => call.isolated)) violation ??= 'not isolated';
    const rankOf = { critical: 0, high: 1, normal: 2, low: 3 };
    const isOvertaken = waiters.some(
      (other) => rankOf[other.request.priority] < rankOf[waiter.request.priority],
    );
    if (isOvertaken) violation ??= 'a less important call went first';
    const isShallower = waiters.some(
      ({ request }) =>
        request.priority === waiter.request.priority &&
        request.account === waiter.request.account &&
        request.depth > waiter.request.depth,
    );
    if (isShallower) violation ??= 'a shallower call went first';
  };

  const requestAdmission = async (request: AdmissionRequest): Promise<void> => {
    const waiter = { request, abort: new AbortController() };
    requested += 1;
    waiters.push(waiter);
    const admission = await controller.admit(request, waiter.abort.signal);
    settled += 1;
    waiters.splice(waiters.indexOf(waiter), 1);
    if (!admission.ok) return;
    admitted += 1;
    running.push({ permit: admission.value, isolated: request.isolated });
    checkStart(waiter);
  };

  const apply = (step: Step): void => {
    if (step.kind === 'admit') void requestAdmission(step.request);
    if (step.kind === 'abort') waiters[step.index]?.abort.abort();
    if (step.kind === 'release') running.splice(step.index, 1)[0]?.permit.release('completed');
    if (step.kind === 'capacity') controller.setCapacity(capacityOf(step.slots));
  };

  controller.setCapacity(capacityOf(3));
  for (const step of sequence) {
    apply(step);
    await clock.advance(step.kind === 'wait' ? step.milliseconds : 0);
    if (controller.load().running !== running.length) violation ??= 'permits are not conserved';
  }
  running.splice(0).forEach(({ permit }) => permit.release('completed'));
  for (let round = 0; round < 100 && settled < requested; round += 1) {
    await clock.advance(20);
    running.splice(0).forEach(({ permit }) => permit.release('completed'));
  }
  if (settled !== requested)
    violation ??= `${requested - settled} of ${requested} calls never ended`;
  const { running: left, queued } = controller.load();
  if (left !== 0 || queued !== 0) violation ??= `${left} slots lost after ${admitted} calls`;
  return violation;
}

void t.test('no slot is lost and the order holds under any sequence of calls', async (test) => {
  await fc.assert(
    fc.asyncProperty(steps, async (sequence) => {
      const violation = await replay(sequence);
      if (violation) throw new Error(violation);
    }),
    { numRuns: 1_000, seed: SEED },
  );
  test.pass();
});

// Guards against throttling an upstream more and more, without recovery, because the services that it calls are slow.
void t.test(
  'without adaptation to latency, slow and failed calls do not change the limit',
  async (test) => {
    const clock = createFakeClock();
    const controller = createAdmissionController({ clock, adaptsToLatency: false });
    controller.setCapacity({
      state: 'ready',
      slots: 10,
      coldStartMilliseconds: 0,
      queueTargetMilliseconds: 400,
    });
    const run = async (milliseconds: number, outcome: 'completed' | 'failed' | 'shed') => {
      const admitted = controller.tryAdmit(requestOf({}));
      if (!admitted?.ok) throw new Error('the call should start at once');
      await clock.advance(milliseconds);
      admitted.value.release(outcome);
    };
    for (let index = 0; index < 60; index += 1) await run(10, 'completed');
    for (let index = 0; index < 60; index += 1)
      await run(200, index % 2 === 0 ? 'failed' : 'completed');
    test.equal(controller.load().limit, 10);
    for (let index = 0; index < 120; index += 1) await run(20, 'shed');
    test.equal(controller.load().limit, 5);
    for (let index = 0; index < 400; index += 1) await run(20, 'completed');
    test.equal(controller.load().limit, 10);
  },
);
