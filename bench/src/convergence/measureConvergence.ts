import { setTimeout as sleep } from 'node:timers/promises';

import type { NodeFleet } from '@buckthornslip/app-node';

const POLL_MILLISECONDS = 5;
const LIMIT_MILLISECONDS = 30_000;

/**
 * Publishes a change and waits until it is in force on every node.
 *
 * @param fleet - Nodes that follow the configuration.
 * @param change - Publishes the change; resolves when the publisher has the response of the store.
 * @returns Times from the start of the publication until the first and the last node had the change in force, in
 * milliseconds.
 * @throws If the change is not in force on every node within the time limit.
 */
export async function measureConvergence(
  fleet: NodeFleet,
  change: () => Promise<{ readonly kind: string }>,
): Promise<{ readonly first: number; readonly last: number }> {
  const before = Math.max(...fleet.hosts.map(({ node }) => node.revision()));
  const start = performance.now();
  let result = 'pending';
  const changing = change().then((outcome) => {
    result = JSON.stringify(outcome);
  });
  let first: number | undefined;
  for (;;) {
    const changed = fleet.hosts.filter(({ node }) => node.revision() > before).length;
    const elapsed = performance.now() - start;
    if (changed > 0) first ??= elapsed;
    if (changed === fleet.hosts.length) {
      await changing;
      return { first: first ?? elapsed, last: elapsed };
    }
    if (elapsed > LIMIT_MILLISECONDS) {
      throw new Error(
        `${fleet.hosts.length - changed} nodes do not have the change in force; publication: ${result}`,
      );
    }
    await sleep(POLL_MILLISECONDS);
  }
}
