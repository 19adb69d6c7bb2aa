import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { createMemoryStore } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import fc from 'fast-check';
import t from 'tap';

import { createRecordReader, recordKey } from './createRecordReader';
import { fromMemberMessage, toMemberMessage } from './memberMessages';
import { encodeRecord } from './memberRecord';
import { parseMember } from './parseMember';

const SEED = 20_261_204;

const member: Member = {
  host: 'host' as HostId,
  incarnation: 1 as Incarnation,
  version: 1,
  service: 'service' as ServiceId,
  region: 'region' as RegionId,
  zone: 'zone' as ZoneId,
  peerAddress: '10.0.0.1:7000',
  controlAddress: '10.0.0.1:7000',
  slots: 10,
  connections: 10,
  state: 'ready',
  alive: true,
};

void t.test('a valid record is decoded unchanged', async (test) => {
  test.same(parseMember(JSON.parse(JSON.stringify(member))), member);
  test.same(fromMemberMessage(toMemberMessage(member)), member);
});

// Guards against a record whose address can't be connected to: opening a socket to it throws, which ended the process.
void t.test('a record with an unusable address is rejected', async (test) => {
  for (const peerAddress of ['', 'host', '10.0.0.1:', '10.0.0.1:70000', '10.0.0.1:x', ':7000']) {
    test.equal(parseMember({ ...member, peerAddress }), undefined, `stored: "${peerAddress}"`);
    const message = { ...toMemberMessage(member), peerAddress };
    test.equal(fromMemberMessage(message), undefined, `received: "${peerAddress}"`);
  }
});

// Guards against a record that can be read but not sent on: encoding it throws, and no list with it reaches another node.
void t.test('a record with a number out of range is rejected', async (test) => {
  const tooLarge = { slots: 3e9, connections: 3e9, version: 1e300, incarnation: 1e300 };
  for (const [name, value] of Object.entries(tooLarge)) {
    test.equal(parseMember({ ...member, [name]: value }), undefined, `${name}: ${value}`);
    test.equal(parseMember({ ...member, [name]: 1.5 }), undefined, `${name}: 1.5`);
  }
  // Its own node would have to use a higher incarnation.
  const incarnation = Number.MAX_SAFE_INTEGER;
  test.equal(parseMember({ ...member, incarnation }), undefined);
  test.equal(fromMemberMessage({ ...toMemberMessage(member), incarnation }), undefined);
});

// Guards against the same failure for any other value.
void t.test('a record that is read can be sent on', async (test) => {
  const anyNumber = fc.oneof(fc.double(), fc.maxSafeInteger());
  const numbers = fc.record({
    slots: anyNumber,
    connections: anyNumber,
    version: anyNumber,
    incarnation: anyNumber,
  });
  fc.assert(
    fc.property(numbers, (values) => {
      const decoded = parseMember({ ...member, ...values });
      if (decoded) encodeRecord(decoded);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
  test.pass('no record threw');
});

// Guards against records of another writer that make the decoder throw.
void t.test('the decoder accepts or rejects any value', async (test) => {
  const anyField = fc.oneof(fc.jsonValue(), fc.constant(undefined));
  fc.assert(
    fc.property(fc.constantFrom(...Object.keys(member)), anyField, (name, value) => {
      parseMember({ ...member, [name]: value });
    }),
    { seed: SEED, numRuns: 1_000 },
  );
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      parseMember(value);
    }),
    { seed: SEED, numRuns: 1_000 },
  );
  test.pass('no input threw');
});

// Guards against a node that is counted in a zone without a name, whose relays would be other ones.
void t.test('a record without host, zone or region is rejected', async (test) => {
  for (const name of ['host', 'zone', 'region'] as const) {
    test.equal(parseMember({ ...member, [name]: '' }), undefined, `stored: ${name}`);
    const message = { ...toMemberMessage(member), [name]: '' };
    test.equal(fromMemberMessage(message), undefined, `received: ${name}`);
  }
});

// Guards against a node that drops out for good because another writer's entry names it with a higher incarnation.
void t.test('a record under the key of another node is rejected', async (test) => {
  const store = createMemoryStore({ clock: createFakeClock() });
  const forged = { ...member, incarnation: 9 as Incarnation, state: 'left' as const };
  await store.compareAndSwap(recordKey(member), 0, encodeRecord(member));
  await store.compareAndSwap('buckthornslip/nodes/zone/other', 0, encodeRecord(forged));
  await store.compareAndSwap('buckthornslip/nodes/zone', 0, encodeRecord(forged));
  await store.compareAndSwap('buckthornslip/nodes/zone/bytes', 0, Buffer.from([255, 0, 255]));
  const logger = createSilentLogger();
  const listing = await createRecordReader({ clock: createFakeClock(), store, logger }).read(
    undefined,
  );
  test.same(listing?.members, [member]);
});
