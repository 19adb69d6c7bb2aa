import type { Suspect, SuspectTable } from '@buckthornslip/calls';
import { createSuspectTable } from '@buckthornslip/calls';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import t from 'tap';

void t.test('a request that fails two upstreams is isolated, then refused', async (test) => {
  const clock = createFakeClock();
  const table = createSuspectTable(clock, () => undefined);
  test.equal(table.classify('f'), 'clear');
  table.begin('f');
  table.upstreamFailed();
  test.equal(table.classify('f'), 'isolated');
  table.begin('f');
  table.upstreamFailed();
  test.equal(table.classify('f'), 'refused');
  await clock.advance(60_001);
  test.equal(table.classify('f'), 'isolated', 'allowed again, but isolated');
  await clock.advance(60_000);
  test.equal(table.classify('f'), 'clear');
});

void t.test('a suspect that gets an answer is cleared, and the others are not', async (test) => {
  const table = createSuspectTable(createFakeClock(), () => undefined);
  table.begin('innocent');
  table.begin('culprit');
  table.upstreamFailed();
  test.equal(table.classify('innocent'), 'isolated');
  table.begin('innocent');
  table.end('innocent', true);
  test.equal(table.classify('innocent'), 'clear');
  test.equal(table.classify('culprit'), 'isolated');
});

void t.test(
  'one repeated request crashes at most five upstreams of a service in ten minutes',
  async (test) => {
    const clock = createFakeClock();
    const random = createSeededRandom(3);
    const tables: SuspectTable[] = [];
    const share = (suspects: readonly Suspect[]): void => {
      for (const table of tables) table.merge(suspects);
    };
    for (let node = 0; node < 5; node += 1) tables.push(createSuspectTable(clock, share));
    let lost = 0;
    for (let second = 0; second < 600; second += 1) {
      const table = tables[random.nextInteger(5)];
      if (table && table.classify('f') !== 'refused') {
        table.begin('f');
        table.upstreamFailed();
        lost += 1;
      }
      await clock.advance(1_000);
    }
    test.ok(lost <= 5, `${lost} upstreams crashed`);
  },
);

void t.test('the table drops its oldest suspects when it is full', async (test) => {
  const table = createSuspectTable(createFakeClock(), () => undefined);
  for (let index = 0; index < 1_500; index += 1) table.begin(`f${index}`);
  table.upstreamFailed();
  test.equal(table.classify('f0'), 'clear');
  test.equal(table.classify('f1499'), 'isolated');
});

// Guards against a crash that is taken for an earlier one, because its reporter only counts the failures of a request.
void t.test('a counted failure after an answer is a new one', async (test) => {
  const table = createSuspectTable(createFakeClock(), () => undefined);
  table.merge([{ fingerprint: 'f', failures: 1 }]);
  table.begin('f');
  table.end('f', true);
  test.equal(table.failuresOf('f'), 0);
  table.merge([{ fingerprint: 'f', failures: 1 }]);
  test.equal(table.failuresOf('f'), 1);
});

// Guards against a late report of a crash that an answer to the request has cleared.
void t.test('a named failure stays cleared after an answer', async (test) => {
  const table = createSuspectTable(createFakeClock(), () => undefined);
  const report = { fingerprint: 'f', failures: 1, failureIds: ['upstream@1'] };
  table.merge([report]);
  table.begin('f');
  table.end('f', true);
  table.merge([report]);
  test.equal(table.failuresOf('f'), 0);
});
