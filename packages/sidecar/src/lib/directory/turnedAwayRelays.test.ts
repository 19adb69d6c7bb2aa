import type { ZoneId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import t from 'tap';

import { createDirectoryFleet, POLICY_APPLY_MILLISECONDS } from '../testing/createDirectoryFleet';

/** Time that a node has on a real network to open a connection to the store and to read it, in milliseconds. */
const STORE_READ_MILLISECONDS = 300;

const SEED = 202_612_052;

/** Times of the new policy after the store has turned the relays away, in milliseconds. */
const PUBLICATION_MILLISECONDS = [0, 200, 700, 1_500, 2_400, 3_100, 5_000];

/** Times at which the store turns the relays away, within a poll, in milliseconds. */
const FAILURE_MILLISECONDS = [0, 400, 900, 1_500, 2_300];

const DEPLOYMENTS = [
  { zones: 1, nodes: 9 },
  { zones: 2, nodes: 12 },
  { zones: 4, nodes: 16 },
];

async function startFleet(zones: number, nodes: number) {
  const hosts = Array.from({ length: nodes }, (_, index) => `host-${index}`);
  const fleet = createDirectoryFleet(SEED);
  hosts.forEach((host, index) => fleet.start(host, undefined, `zone-${index % zones}` as ZoneId));
  await fleet.publish(1);
  await fleet.clock.advance(6_000);
  return { fleet, hosts };
}

// Guards against a withdrawn key that works until the store serves the relays again, at nodes that it has always served.
for (const failure of ['refused', 'silent'] as const) {
  for (const { nodes, zones } of DEPLOYMENTS) {
    const name = `${nodes} nodes in ${zones} zones, calls of all relays are ${failure}`;
    void t.test(name, async (test) => {
      const late: string[] = [];
      for (const failureMilliseconds of FAILURE_MILLISECONDS) {
        for (const publication of PUBLICATION_MILLISECONDS) {
          const { fleet, hosts } = await startFleet(zones, nodes);
          await fleet.clock.advance(failureMilliseconds);
          fleet.followers.forEach((host) => fleet.turnedAway.set(host, failure));
          await fleet.clock.advance(publication);
          await fleet.publish(2);
          await fleet.clock.advance(POLICY_APPLY_MILLISECONDS - STORE_READ_MILLISECONDS);
          hosts
            .filter((host) => !fleet.turnedAway.has(host) && fleet.policyRevision(host) !== 2)
            .forEach((host) =>
              late.push(`${host}: failure at ${failureMilliseconds}, policy ${publication} later`),
            );
        }
      }
      test.same(late, []);
    });
  }
}

// Guards against nodes that take the knowledge of their relays for old, and all follow the store.
void t.test('only relays follow the store while it serves them', async (test) => {
  const { fleet } = await startFleet(4, 32);
  const relays = [...fleet.followers].sort();
  test.equal(relays.length, 12);
  const random = createSeededRandom(SEED);
  for (let revision = 2; revision <= 20; revision += 1) {
    await fleet.publish(revision);
    const untilNext = fleet.clock.monotonicMilliseconds() + random.next() * 8_000;
    while (fleet.clock.monotonicMilliseconds() < untilNext) {
      await fleet.clock.advance(100);
      test.same([...fleet.followers].sort(), relays);
    }
  }
});

// Guards against a store that is asked by the whole fleet when it is down, and when it comes back.
void t.test('few nodes ask a store that is down', async (test) => {
  const { fleet, hosts } = await startFleet(8, 200);
  hosts.forEach((host) => fleet.turnedAway.set(host, 'silent'));
  await fleet.clock.advance(4_500);
  test.ok(fleet.followers.size < hosts.length / 2, `${fleet.followers.size} nodes follow`);
  const callCount = (): number => {
    const { get, list, watch } = fleet.store.calls;
    return get + list + watch;
  };
  const before = callCount();
  fleet.turnedAway.clear();
  await fleet.clock.advance(1_000);
  await fleet.publish(2);
  await fleet.clock.advance(POLICY_APPLY_MILLISECONDS);
  test.same([...new Set(hosts.map((host) => fleet.policyRevision(host)))], [2]);
  const calls = callCount() - before;
  test.ok(calls < 2 * hosts.length, `${calls} calls after the outage`);
});

// Guards against knowledge that looks newer than it is because a message was held up on its way.
void t.test('what a node is told without having asked does not count as recent', async (test) => {
  const { fleet, hosts } = await startFleet(2, 12);
  const node = hosts.find((host) => !fleet.followers.has(host)) as string;
  const [relay] = [...fleet.followers];
  const held = fleet.get(relay as string).currentMessage();
  fleet.unreachable.add(node);
  fleet.turnedAway.set(node, 'silent');
  for (let passed = 0; passed < 5_000; passed += 500) {
    await fleet.clock.advance(500);
    fleet.get(node).receive({ ...held, policyAgeMilliseconds: 0 });
  }
  test.ok(fleet.get(node).currentMessage().policyAgeMilliseconds >= 5_000);
});
