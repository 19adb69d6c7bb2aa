import t from 'tap';

import { createBodyReceiver } from './createBodyReceiver';

const part = (text: string, last = false) => ({ bytes: Buffer.from(text), last, broken: false });

// Guards against an object for each tiny part of a body whose reader is slow: credit limits bytes, not parts.
void t.test('parts that wait for the reader are joined', async (test) => {
  let grantedBytes = 0;
  const receiver = createBodyReceiver((bytes) => {
    grantedBytes += bytes;
  });
  for (let count = 0; count < 10_000; count += 1) receiver.push(part('x'));
  test.equal(grantedBytes, 0);
  const pieces: Buffer[] = [];
  receiver.stream.on('data', (piece: Buffer) => pieces.push(piece));
  await new Promise(setImmediate);
  test.equal(Buffer.concat(pieces).length, 10_000);
  test.ok(pieces.length < 10, `${pieces.length} pieces`);
  test.equal(grantedBytes, 10_000);
  const ended = new Promise((resolve) => {
    receiver.stream.once('end', resolve);
  });
  receiver.push(part('yz', true));
  await ended;
  test.equal(Buffer.concat(pieces).toString().slice(-2), 'yz');
});

// Guards against a sender that waits for credit without end because the first part of its body has used it up.
void t.test('the first part of a body is granted again when the rest is read', async (test) => {
  let grantedBytes = 0;
  const receiver = createBodyReceiver((bytes) => {
    grantedBytes += bytes;
  }, 16_384);
  await new Promise(setImmediate);
  test.equal(grantedBytes, 0);
  receiver.stream.resume();
  await new Promise(setImmediate);
  test.equal(grantedBytes, 16_384);
});
