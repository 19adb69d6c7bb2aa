import { createAttemptTable } from '@buckthornslip/calls';
import type { AttemptId } from '@buckthornslip/common';
import { createFakeClock, createUuid } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

void t.test('a repeat joins the running attempt and gets its response', async (test) => {
  const clock = createFakeClock();
  const table = createAttemptTable(clock);
  const id = createUuid(clock) as AttemptId;
  test.match(table.enter(id), { kind: 'new' });
  const joined = table.enter(id);
  const response = { status: 200, headers: {}, body: Buffer.from('paid') };
  table.finish(id, { kind: 'answered', response });
  if (joined.kind !== 'known') throw new Error('the repeat was added as a new attempt');
  test.match(await joined.result, { kind: 'answered', response: { status: 200 } });
});

void t.test('a full table refuses new attempts instead of dropping old ones', async (test) => {
  const clock = createFakeClock();
  const table = createAttemptTable(clock);
  let entered = 0;
  while (table.enter(createUuid(clock) as AttemptId).kind === 'new') entered += 1;
  test.equal(entered, 50_000);
});

void t.test(
  'stored bodies are bounded, and an attempt whose body was dropped is still known to have run',
  async (test) => {
    const clock = createFakeClock();
    const table = createAttemptTable(clock);
    const ids = Array.from({ length: 200 }, () => createUuid(clock) as AttemptId);
    for (const id of ids) {
      table.enter(id);
      const response = { status: 200, headers: {}, body: Buffer.alloc(64 * 1024) };
      table.finish(id, { kind: 'answered', response });
    }
    test.match(await table.find(ids[0] as AttemptId), { kind: 'ended', outcome: 'ran' });
    test.match(await table.find(ids[199] as AttemptId), { kind: 'answered' });
  },
);

void t.test('no attempt id starts twice, however late its repeats arrive', async (test) => {
  const step = fc.record({
    waitMilliseconds: fc.constantFrom(0, 1_000, 479_000, 481_000, 599_000, 601_000),
    wallStepMilliseconds: fc.constantFrom(0, 0, -20_000, 20_000),
    attempt: fc.nat(3),
    finishes: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 30 }), async (steps) => {
      const clock = createFakeClock();
      const table = createAttemptTable(clock);
      const ids = Array.from({ length: 4 }, () => createUuid(clock) as AttemptId);
      const starts = [0, 0, 0, 0];
      for (const { waitMilliseconds, wallStepMilliseconds, attempt, finishes } of steps) {
        await clock.advance(waitMilliseconds);
        const stepTotal = clock.wallMilliseconds() - clock.monotonicMilliseconds();
        if (Math.abs(stepTotal + wallStepMilliseconds - 1_767_225_600_000) <= 60_000) {
          clock.stepWallClock(wallStepMilliseconds);
        }
        const id = ids[attempt] as AttemptId;
        if (table.enter(id).kind === 'new') starts[attempt] = (starts[attempt] ?? 0) + 1;
        if (finishes) table.finish(id, { kind: 'ended', outcome: 'ran' });
      }
      return starts.every((count) => count <= 1);
    }),
    { seed: 9, numRuns: 1_000 },
  );
  test.pass('each id started at most once in every run');
});
