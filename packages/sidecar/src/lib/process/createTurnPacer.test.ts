import t from 'tap';

import { createTurnPacer } from './createTurnPacer';

/** Turns of an event loop that a test makes by itself. */
function createTurns() {
  let scheduled: (() => void)[] = [];
  return {
    next: (callback: () => void) => scheduled.push(callback),
    make: (count: number) => {
      for (let turns = 0; turns < count; turns += 1) {
        const due = scheduled;
        scheduled = [];
        due.forEach((callback) => callback());
      }
    },
    isIdle: () => scheduled.length === 0,
  };
}

function createFixture(delayMilliseconds = 0) {
  const turns = createTurns();
  const pacer = createTurnPacer(() => delayMilliseconds, turns.next);
  const begun: number[] = [];
  const begin = (call: number): void => {
    const waiting = pacer.wait();
    if (!waiting) begun.push(call);
    else void waiting.then(() => begun.push(call));
  };
  const settle = (): Promise<void> => Promise.resolve();
  return { turns, begun, begin, settle };
}

// Guards against calls that wait although the process has time.
void t.test('calls of different turns do not wait', async (test) => {
  const { begin, begun, turns } = createFixture();
  for (let call = 0; call < 100; call += 1) {
    begin(call);
    turns.make(3);
  }
  test.equal(begun.length, 100);
  test.ok(turns.isIdle());
});

// Guards against a turn of the event loop in which hundreds of calls are begun, before it is read that their callers have left.
void t.test('many calls of one turn begin in order, a few in each turn', async (test) => {
  const { begin, begun, settle, turns } = createFixture();
  for (let call = 0; call < 100; call += 1) begin(call);
  const first = begun.length;
  test.ok(first > 0 && first < 50, `${first} begin at once`);
  turns.make(1);
  await settle();
  test.equal(begun.length, first, 'the next poll comes after this turn');
  turns.make(1);
  await settle();
  test.ok(begun.length > first && begun.length < 50, `${begun.length} after a poll`);
  begin(100);
  for (let made = 0; made < 20; made += 1) {
    turns.make(1);
    await settle();
  }
  test.same(
    begun,
    Array.from({ length: 101 }, (_value, call) => call),
  );
  test.ok(turns.isIdle());
});

// Guards against calls that begin first after a long turn, although their callers left while they waited to be read.
void t.test('after a long turn a call waits for the next poll', async (test) => {
  const { begin, begun, settle, turns } = createFixture(600);
  begin(1);
  turns.make(1);
  await settle();
  test.same(begun, [], 'the next poll comes after this turn');
  turns.make(1);
  await settle();
  test.same(begun, [1]);
});

// Guards against a call that begins in the turn in which it was read, because earlier calls are released in that turn.
void t.test('a call that is read while others wait also waits for the next poll', async (test) => {
  const { begin, begun, settle, turns } = createFixture(600);
  begin(1);
  turns.make(1);
  begin(2);
  turns.make(1);
  await settle();
  test.same(begun, [1]);
  turns.make(1);
  await settle();
  test.same(begun, [1, 2]);
});
