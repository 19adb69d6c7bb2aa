import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

import { createMemberTable } from '../table/createMemberTable';
import { compareRecords } from './compareRecords';
import type { Liveness } from './Liveness';
import type { MemberRecord } from './MemberRecord';
import type { MemberState } from './MemberState';
import { mergeRecords } from './mergeRecords';

const RUNS = { seed: 20_261_204, numRuns: 1_000 };
const SERVICE = 'draw' as ServiceId;
const states: readonly MemberState[] = ['starting', 'ready', 'draining', 'left'];

/** Only the node itself writes its record, so the content is determined by the incarnation and the version. */
const recordOf = (
  host: string,
  incarnation: number,
  version: number,
  liveness: Liveness,
): MemberRecord => ({
  host: host as HostId,
  incarnation: incarnation as Incarnation,
  version,
  service: SERVICE,
  region: 'riga' as RegionId,
  zone: 'riga-1' as ZoneId,
  peerAddress: `peer-${incarnation}`,
  controlAddress: `control-${incarnation}`,
  slots: version,
  connections: 10 * version,
  state: states[(incarnation + version) % states.length]!,
  liveness,
});

const arbitraryRecord = (hosts: readonly string[]): fc.Arbitrary<MemberRecord> =>
  fc
    .tuple(
      fc.constantFrom(...hosts),
      fc.nat(3),
      fc.nat(4),
      fc.constantFrom<Liveness>('alive', 'suspect', 'dead'),
    )
    .map((fields) => recordOf(...fields));

const oneHost = arbitraryRecord(['a']);

void t.test('merging records is commutative, associative and idempotent', async (test) => {
  const property = fc.property(oneHost, oneHost, oneHost, (left, middle, right) => {
    const isEqual = (one: MemberRecord, other: MemberRecord): boolean =>
      JSON.stringify(one) === JSON.stringify(other);
    return (
      isEqual(mergeRecords(left, right), mergeRecords(right, left)) &&
      isEqual(mergeRecords(left, left), left) &&
      isEqual(
        mergeRecords(mergeRecords(left, middle), right),
        mergeRecords(left, mergeRecords(middle, right)),
      )
    );
  });
  test.doesNotThrow(() => fc.assert(property, RUNS));
});

void t.test('no order of messages restores an older record', async (test) => {
  const records = fc.array(arbitraryRecord(['a', 'b', 'c']), { maxLength: 20 });
  const orders = records.chain((list) =>
    fc.tuple(fc.constant(list), fc.shuffledSubarray(list, { minLength: list.length })),
  );
  const property = fc.property(orders, ([list, shuffled]) => {
    const table = createMemberTable(SERVICE, createFakeClock());
    const isMonotonic = shuffled.every((record) => {
      const earlier = table.get(record.host);
      table.merge([record]);
      const current = table.get(record.host)!;
      return (
        compareRecords(current, record) >= 0 && (!earlier || compareRecords(current, earlier) >= 0)
      );
    });
    const other = createMemberTable(SERVICE, createFakeClock());
    other.merge([...list, ...list]);
    return isMonotonic && other.digest() === table.digest();
  });
  test.doesNotThrow(() => fc.assert(property, RUNS));
});

void t.test('a dead record is refuted only by a higher version of the node', async (test) => {
  const dead = recordOf('a', 1, 2, 'dead');
  test.equal(mergeRecords(dead, recordOf('a', 1, 2, 'alive')), dead);
  const refuted = recordOf('a', 1, 3, 'alive');
  test.equal(mergeRecords(dead, refuted), refuted);
});
