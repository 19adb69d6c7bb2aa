import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { channelTimes } from './channelTimes';
import { createAnswerRetention } from './createAnswerRetention';

const LIMIT_BYTES = 1_048_576;
const ANSWER_BYTES = 131_072;

// Guards against retained answers that fill the memory of a node with many sessions.
void t.test('retained answers stay within the limit, and the oldest go first', async (test) => {
  const retention = createAnswerRetention(createFakeClock(), LIMIT_BYTES);
  const dropped: number[] = [];
  const ids = Array.from({ length: 50 }, (_, index) => index);
  ids.forEach((id) => retention.add(ANSWER_BYTES, () => dropped.push(id)));
  const retained = ids.length - dropped.length;
  test.ok(retained > 0 && retained * ANSWER_BYTES <= LIMIT_BYTES, `${retained} answers`);
  test.same(dropped, ids.slice(0, dropped.length));
});

// Guards against answers of an idle session that are kept for as long as it exists.
void t.test('answers expire when any later one is added', async (test) => {
  const clock = createFakeClock();
  const retention = createAnswerRetention(clock, LIMIT_BYTES);
  const dropped: string[] = [];
  retention.add(ANSWER_BYTES, () => dropped.push('idle'));
  await clock.advance(channelTimes.answerRetention);
  retention.add(ANSWER_BYTES, () => dropped.push('first'));
  test.same(dropped, []);
  await clock.advance(1);
  retention.add(ANSWER_BYTES, () => dropped.push('second'));
  test.same(dropped, ['idle']);
});
