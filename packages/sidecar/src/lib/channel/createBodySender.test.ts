import { Readable } from 'node:stream';

import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import type { BodyOutlet, BodyPartFields } from './BodyChannel';
import { createBodySender } from './createBodySender';

const CREDIT_BYTES = 262_144;

const clock = createSystemClock();
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

/** An outlet that takes everything at once. */
function openOutlet(parts: BodyPartFields[]): BodyOutlet {
  return {
    send: (part) => parts.push(part),
    hasRoom: () => true,
    whenDrained: async () => undefined,
  };
}

// Guards against a body whose receiver waits without end because its source had failed before it was sent.
void t.test('a source that has already failed is sent as broken', async (test) => {
  const source = new Readable({ read: () => undefined });
  source.on('error', () => undefined);
  source.destroy(new Error('connection was reset'));
  await clock.sleep(10);
  const parts: BodyPartFields[] = [];
  createBodySender(source, openOutlet(parts), CREDIT_BYTES);
  await clock.sleep(10);
  test.match(parts, [{ last: false, broken: true }]);
});

// Guards against an end that is sent twice, or without the parts before it.
void t.test('a source that ends is sent once with its end', async (test) => {
  const source = Readable.from([Buffer.from('one'), Buffer.from('two')], { objectMode: false });
  const parts: BodyPartFields[] = [];
  createBodySender(source, openOutlet(parts), CREDIT_BYTES);
  await clock.sleep(10);
  test.equal(Buffer.concat(parts.map(({ bytes }) => bytes)).toString(), 'onetwo');
  test.same(
    parts.filter(({ last, broken }) => last || broken).map(({ broken }) => broken),
    [false],
  );
});

// Guards against a body that fills the memory of the process while its connection takes nothing.
void t.test('a body waits while its connection has no room', async (test) => {
  const source = Readable.from([Buffer.from('one'), Buffer.from('two')], { objectMode: false });
  const parts: BodyPartFields[] = [];
  let hasRoom = false;
  let resolveDrained = (): void => undefined;
  const drained = new Promise<void>((resolve) => {
    resolveDrained = resolve;
  });
  const outlet = { ...openOutlet(parts), hasRoom: () => hasRoom, whenDrained: () => drained };
  const sender = createBodySender(source, outlet, CREDIT_BYTES);
  await clock.sleep(10);
  sender.addCredit(CREDIT_BYTES);
  await clock.sleep(10);
  test.equal(parts.map(({ bytes }) => bytes.toString()).join(), 'one');
  hasRoom = true;
  resolveDrained();
  await clock.sleep(10);
  test.equal(Buffer.concat(parts.map(({ bytes }) => bytes)).toString(), 'onetwo');
});

// Guards against a body that is sent although its receiver has accepted all that it can take.
void t.test('a body without credit waits for it', async (test) => {
  const source = Readable.from([Buffer.from('one')], { objectMode: false });
  const parts: BodyPartFields[] = [];
  const sender = createBodySender(source, openOutlet(parts), 0);
  await clock.sleep(10);
  test.same(parts, []);
  sender.addCredit(CREDIT_BYTES);
  await clock.sleep(10);
  test.equal(Buffer.concat(parts.map(({ bytes }) => bytes)).toString(), 'one');
});

// Guards against a receiver of many bodies that gets a whole read of each, whatever it has granted.
void t.test('no more is sent than the credit', async (test) => {
  const body = Buffer.from(Array.from({ length: 100_000 }, (_, index) => index % 251));
  const source = Readable.from([body.subarray(0, 65_536), body.subarray(65_536)], {
    objectMode: false,
  });
  const parts: BodyPartFields[] = [];
  const sent = (): Buffer => Buffer.concat(parts.map(({ bytes }) => bytes));
  const sender = createBodySender(source, openOutlet(parts), 10_000);
  await clock.sleep(10);
  test.equal(sent().length, 10_000);
  for (let granted = 10_000; granted < body.length; granted += 10_000) {
    sender.addCredit(10_000);
    await clock.sleep(5);
    test.equal(sent().length, Math.min(granted + 10_000, body.length));
  }
  await clock.sleep(10);
  test.ok(sent().equals(body));
  test.match(parts.at(-1), { last: true, broken: false });
});
