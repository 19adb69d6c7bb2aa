import type { ZoneId } from '@buckthornslip/common';
import t from 'tap';

import type { DirectoryFleet } from '../testing/createDirectoryFleet';
import { createDirectoryFleet, POLICY_APPLY_MILLISECONDS } from '../testing/createDirectoryFleet';

/** Time that a node has on a real network to open a connection to the store and to read it, in milliseconds. */
const STORE_READ_MILLISECONDS = 300;

/** Outage in which two exchanges of one node with the same relay do not both time out, in milliseconds. */
const OUTAGE_MILLISECONDS = 1_700;

const ZONES = 4;
const SEED = 202_612_051;

/** Times of the failure within two exchange intervals, in milliseconds. */
const FAILURE_MILLISECONDS = [0, 300, 700, 1_100, 1_600, 2_100, 2_700];

/** Times of the new policy after the failure, in milliseconds. */
const PUBLICATION_MILLISECONDS = [0, 400, 1_000, 2_000];

const zoneOf = (host: string): ZoneId => `zone-${Number(host.slice(5)) % ZONES}` as ZoneId;

async function startFleet(nodesPerZone: number) {
  const hosts = Array.from({ length: ZONES * nodesPerZone }, (_, index) => `host-${index}`);
  const fleet = createDirectoryFleet(SEED);
  hosts.forEach((host) => fleet.start(host, undefined, zoneOf(host)));
  await fleet.publish(1);
  await fleet.clock.advance(5_000);
  return { fleet, hosts };
}

const relaysOf = (fleet: DirectoryFleet, zone: ZoneId): string[] =>
  [...fleet.followers].filter((host) => zoneOf(host) === zone);

// Guards against a policy that is late on the nodes of a zone whose relays have all lost power at any time before it.
for (const nodesPerZone of [4, 12]) {
  void t.test(`relays of a zone with ${nodesPerZone} nodes fail at once`, async (test) => {
    const late: string[] = [];
    for (const failure of FAILURE_MILLISECONDS) {
      for (const publication of PUBLICATION_MILLISECONDS) {
        const { fleet, hosts } = await startFleet(nodesPerZone);
        await fleet.clock.advance(failure);
        relaysOf(fleet, zoneOf('host-1')).forEach((host) => fleet.unreachable.add(host));
        await fleet.clock.advance(publication);
        await fleet.publish(2);
        await fleet.clock.advance(POLICY_APPLY_MILLISECONDS - STORE_READ_MILLISECONDS);
        hosts
          .filter((host) => !fleet.unreachable.has(host) && fleet.policyRevision(host) !== 2)
          .forEach((host) =>
            late.push(`${host}: failure at ${failure}, policy ${publication} later`),
          );
      }
    }
    test.same(late, []);
  });
}

// Guards against nodes that all follow the store although their relays answer.
void t.test('only relays follow the store after one relay has failed', async (test) => {
  const { fleet } = await startFleet(8);
  const [failed] = relaysOf(fleet, zoneOf('host-0'));
  fleet.unreachable.add(failed as string);
  await fleet.clock.advance(10_000);
  fleet.followers.delete(failed as string);
  test.equal(relaysOf(fleet, zoneOf('host-0')).length, 3);
});

// Guards against nodes that take a relay for dead sooner than others do, and then use another node's account ledgers.
void t.test('contacts to relays declare no node dead', async (test) => {
  for (const failure of FAILURE_MILLISECONDS) {
    const { fleet, hosts } = await startFleet(4);
    await fleet.clock.advance(failure);
    const relays = relaysOf(fleet, zoneOf('host-1'));
    relays.forEach((host) => fleet.unreachable.add(host));
    await fleet.clock.advance(OUTAGE_MILLISECONDS);
    relays.forEach((host) => fleet.unreachable.delete(host));
    test.equal(fleet.usable('host-1').length, hosts.length, `failure at ${failure}`);
  }
});
