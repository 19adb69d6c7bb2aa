import type { ZoneId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import t from 'tap';

import { createDirectoryFleet, POLICY_APPLY_MILLISECONDS } from '../testing/createDirectoryFleet';

const ZONES = 8;
const NODES_PER_ZONE = 25;
const NODES = ZONES * NODES_PER_ZONE;

/** Nodes that are replaced at a time, and the pause between two replacements, in milliseconds. */
const REPLACED_AT_A_TIME = 8;
const REPLACEMENT_MILLISECONDS = 900;

/** Replacements for which an old node stays after its successor has started. */
const LEAVING_AFTER = 4;

/** Time after which a started node has to keep the time limit, in milliseconds. */
const GRACE_MILLISECONDS = 4_000;

/** Shortest and longest pause between two policies, in milliseconds. */
const SHORTEST_PAUSE_MILLISECONDS = 400;
const LONGEST_PAUSE_MILLISECONDS = 1_000;

const STEP_MILLISECONDS = 50;
const DURATION_MILLISECONDS = 18_000;

type Leaving = 'gracefully' | 'by ending';

const hostName = (index: number): string => `host-${index}`;
const zoneOf = (index: number): ZoneId => `zone-${index % ZONES}` as ZoneId;

/** @returns The nodes that have a policy later than they may, while new nodes replace half of the fleet. */
async function replaceNodes(seed: number, leaving: Leaving): Promise<string[]> {
  const random = createSeededRandom(seed);
  const fleet = createDirectoryFleet(seed);
  const startedMilliseconds = new Map<string, number>();
  const late: string[] = [];
  const due: { readonly revision: number; readonly atMilliseconds: number }[] = [];
  let started = 0;
  let left = 0;
  let revision = 0;
  let nextPolicyMilliseconds = 0;
  let nextReplacementMilliseconds = 0;
  const now = (): number => fleet.clock.monotonicMilliseconds();

  const startNode = (): void => {
    fleet.start(hostName(started), undefined, zoneOf(started));
    startedMilliseconds.set(hostName(started), now());
    started += 1;
  };
  const removeNode = (): void => {
    const host = hostName(left);
    left += 1;
    startedMilliseconds.delete(host);
    if (leaving === 'by ending') fleet.end(host);
    else
      void fleet
        .get(host)
        .leave()
        .then(() => fleet.end(host));
  };
  const replace = (): void => {
    nextReplacementMilliseconds = now() + REPLACEMENT_MILLISECONDS;
    for (let count = 0; count < REPLACED_AT_A_TIME; count += 1) {
      startNode();
      if (started - NODES > LEAVING_AFTER * REPLACED_AT_A_TIME) removeNode();
    }
  };
  const publish = async (): Promise<void> => {
    revision += 1;
    due.push({ revision, atMilliseconds: now() + POLICY_APPLY_MILLISECONDS });
    await fleet.publish(revision);
    const range = LONGEST_PAUSE_MILLISECONDS - SHORTEST_PAUSE_MILLISECONDS;
    nextPolicyMilliseconds = now() + SHORTEST_PAUSE_MILLISECONDS + random.next() * range;
  };
  const check = (): void => {
    while (due[0] && due[0].atMilliseconds <= now()) {
      const expected = due.shift()?.revision as number;
      [...startedMilliseconds]
        .filter(([, since]) => now() - since >= GRACE_MILLISECONDS)
        .filter(([host]) => fleet.policyRevision(host) < expected)
        .forEach(([host, since]) => late.push(`${host}, up ${now() - since} ms: ${expected}`));
    }
  };

  while (started < NODES) startNode();
  await fleet.publish(1);
  revision = 1;
  await fleet.clock.advance(5_000);
  nextPolicyMilliseconds = now();
  nextReplacementMilliseconds = now();
  const end = now() + DURATION_MILLISECONDS;
  while (now() < end) {
    if (now() >= nextReplacementMilliseconds) replace();
    if (now() >= nextPolicyMilliseconds) await publish();
    await fleet.clock.advance(STEP_MILLISECONDS);
    check();
  }
  return late;
}

// Guards against new nodes that put each newer policy behind the announcers of an earlier one.
for (const seed of [1, 2]) {
  for (const leaving of ['gracefully', 'by ending'] as const) {
    const name = `new nodes have policies in time while others leave ${leaving}, seed ${seed}`;
    void t.test(name, async (test) => {
      test.same(await replaceNodes(seed, leaving), []);
    });
  }
}
