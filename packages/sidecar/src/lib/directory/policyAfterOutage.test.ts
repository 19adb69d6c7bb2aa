import type { ZoneId } from '@buckthornslip/common';
import t from 'tap';

import { createDirectoryFleet, POLICY_APPLY_MILLISECONDS } from '../testing/createDirectoryFleet';

/** Time after an outage of the store from which policies must be in force in time again, in milliseconds. */
const RECOVERY_MILLISECONDS = 4_000;

/** Time that a node has on a real network to open a connection and to read a policy, in milliseconds. */
const READ_MILLISECONDS = 300;

const SEED = 202_612_053;
const NODES = 16;
const ZONES = 4;

/** Times of the last policy before the outage and of the first one after it, in milliseconds. */
const BEFORE_MILLISECONDS = [100, 1_300, 2_200];
const AFTER_MILLISECONDS = [50, 1_000, 1_800];

const hosts = Array.from({ length: NODES }, (_, index) => `host-${index}`);

/** @returns The hosts on which the policy after an outage is late. */
async function playOutage(outage: number, before: number, after: number): Promise<string[]> {
  const fleet = createDirectoryFleet(SEED);
  hosts.forEach((host, index) => fleet.start(host, undefined, `zone-${index % ZONES}` as ZoneId));
  await fleet.publish(1);
  await fleet.clock.advance(5_000);
  await fleet.publish(2);
  await fleet.clock.advance(before);
  hosts.forEach((host) => fleet.turnedAway.set(host, 'silent'));
  await fleet.clock.advance(outage);
  fleet.turnedAway.clear();
  await fleet.clock.advance(after);
  await fleet.publish(3);
  const dueMilliseconds = Math.max(RECOVERY_MILLISECONDS - after, POLICY_APPLY_MILLISECONDS);
  await fleet.clock.advance(dueMilliseconds - READ_MILLISECONDS);
  return hosts.filter((host) => fleet.policyRevision(host) !== 3);
}

// Guards against a key that is withdrawn after an outage of the store and still works when its withdrawal must be in force.
void t.test('a policy is in force in time after a silent store, on all nodes', async (test) => {
  const late: string[] = [];
  for (let outage = 200; outage <= 8_000; outage += 300) {
    for (const before of BEFORE_MILLISECONDS) {
      for (const after of AFTER_MILLISECONDS) {
        const found = await playOutage(outage, before, after);
        if (found.length > 0) late.push(`outage of ${outage} ms, ${before}, ${after}: ${found}`);
      }
    }
  }
  test.same(late, []);
});
