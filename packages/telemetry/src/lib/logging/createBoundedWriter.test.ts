import { createFakeClock } from '@buckthornslip/common';
import { createBoundedWriter, createEventLogger } from '@buckthornslip/telemetry';
import t from 'tap';

/** More lines than may be written at once. */
const MANY_LINES = 5_000;

// Guards against lines on policies and members that are lost because calls under load use up the limit of lines.
void t.test('lines on calls do not displace other lines', async (test) => {
  const clock = createFakeClock();
  let written = '';
  const writer = createBoundedWriter(clock, (text) => {
    written += text;
  });
  const logger = createEventLogger({ name: 'node', level: 'info', write: writer.write });
  for (let calls = 0; calls < MANY_LINES; calls += 1) logger.log('callAnswered');
  logger.log('policyInForce', { revision: 7 });
  writer.flush();
  const lines = written.split('\n');
  test.ok(lines.length < MANY_LINES, `${lines.length} lines`);
  test.equal(lines.filter((line) => line.includes('"policyInForce"')).length, 1);
});

// Guards against a log without bound: lines that don't depend on the load must be limited as well.
void t.test('other lines are limited too, and dropped ones are counted', async (test) => {
  const clock = createFakeClock();
  let written = '';
  let reported = 0;
  const writer = createBoundedWriter(clock, (text) => {
    written += text;
  });
  writer.onDropped((count) => {
    reported += count;
  });
  for (let lines = 0; lines < MANY_LINES; lines += 1) writer.write('line', false);
  await clock.advance(10_000);
  const kept = written.split('\n').length - 1;
  test.ok(kept < MANY_LINES, `${kept} lines`);
  writer.write('line', false);
  test.equal(reported, MANY_LINES - kept);
});

// Guards against a process whose memory grows with its log while nobody reads its standard output.
void t.test('lines are dropped and counted while the output takes none', async (test) => {
  const clock = createFakeClock();
  let waiting = 0;
  let reported = 0;
  const writer = createBoundedWriter(
    clock,
    (text) => {
      waiting += text.length;
    },
    () => waiting,
  );
  writer.onDropped((count) => {
    reported += count;
  });
  const line = 'x'.repeat(1_000);
  for (let seconds = 0; seconds < 60; seconds += 1) {
    for (let lines = 0; lines < 400; lines += 1) writer.write(line, true);
    await clock.advance(1_000);
  }
  test.ok(waiting < 2 * 1_048_576, `${waiting} bytes wait`);
  waiting = 0;
  writer.write(line, true);
  await clock.advance(1_000);
  test.equal(waiting, line.length + 1);
  test.ok(reported > 0, `${reported} dropped lines are reported`);
});
