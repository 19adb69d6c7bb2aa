import { Readable } from 'node:stream';

import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import type { BodyPartFields } from './BodyChannel';
import { createBodySender } from './createBodySender';

const clock = createSystemClock();
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

// Guards against a body whose receiver waits without end because its source had failed before it was sent.
void t.test('a source that has already failed is sent as broken', async (test) => {
  const source = new Readable({ read: () => undefined });
  source.on('error', () => undefined);
  source.destroy(new Error('connection was reset'));
  await clock.sleep(10);
  const parts: BodyPartFields[] = [];
  createBodySender(source, (part) => parts.push(part));
  await clock.sleep(10);
  test.match(parts, [{ last: false, broken: true }]);
});

// Guards against an end that is sent twice, or without the parts before it.
void t.test('a source that ends is sent once with its end', async (test) => {
  const source = Readable.from([Buffer.from('one'), Buffer.from('two')], { objectMode: false });
  const parts: BodyPartFields[] = [];
  createBodySender(source, (part) => parts.push(part));
  await clock.sleep(10);
  test.equal(Buffer.concat(parts.map(({ bytes }) => bytes)).toString(), 'onetwo');
  test.same(
    parts.filter(({ last, broken }) => last || broken).map(({ broken }) => broken),
    [false],
  );
});
