import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createPiecePacer } from './createPiecePacer';

// Guards against streams of tiny pieces that take all processor time from other requests, however many there are.
void t.test('streams of tiny pieces wait for one another', async (test) => {
  const clock = createFakeClock();
  const pacer = createPiecePacer(clock);
  const resumed: number[] = [];
  [1, 2, 3].forEach((stream) =>
    test.ok(
      pacer.hold(10_000, () => {
        resumed.push(stream);
      }),
    ),
  );
  await clock.advance(190);
  test.same(resumed, []);
  await clock.advance(20);
  test.same(resumed, [1]);
  await clock.advance(400);
  test.same(resumed, [1, 2, 3]);
});

// Guards against delaying bodies of the usual form.
void t.test('a stream of few pieces does not wait', async (test) => {
  const pacer = createPiecePacer(createFakeClock());
  test.notOk(pacer.hold(64, () => undefined));
});
