import t from 'tap';

import { FULL_ANSWER_WINDOW_BYTES } from '../serving/FULL_ANSWER_WINDOW_BYTES';
import { createAnswerWindow } from './createAnswerWindow';

const LIMIT_BYTES = 8_388_608;

/** Requests of a crowd that reads no answer, and the memory in which all of these must fit. */
const REQUESTS = 2_000;
const ALLOWED_BYTES = 64 * 1_048_576;

// Guards against answers that fill the memory of the entry node before any caller has read them.
void t.test('windows become smaller as requests accumulate', async (test) => {
  let requests = 0;
  const window = createAnswerWindow(LIMIT_BYTES, () => requests);
  let bytes = 0;
  for (; requests < REQUESTS; requests += 1) bytes += window();
  test.ok(bytes < ALLOWED_BYTES, `${bytes} bytes`);
});

// Guards against answers that wait for credit although few requests are in progress.
void t.test('few requests have full windows', async (test) => {
  const window = createAnswerWindow(LIMIT_BYTES, () => 20);
  test.equal(window(), FULL_ANSWER_WINDOW_BYTES);
});
