import type { Clock } from '@buckthornslip/common';

import type { NodeClients } from '../nodes/NodeClients';
import type { Target } from '../nodes/listTargets';
import type { Rollout } from './Rollout';

const POLL_INTERVAL_MILLISECONDS = 100;

/** Whether a node has confirmed the revision. */
interface NodeConfirmation extends Target {
  readonly isConfirmed: boolean;
}

async function waitForNode(
  clock: Clock,
  nodes: NodeClients,
  target: Target,
  revision: number,
  deadlineMilliseconds: number,
): Promise<NodeConfirmation> {
  let { region } = target;
  for (;;) {
    const status = await nodes.readStatus(target.address);
    if (status.ok) region = status.value.region;
    const isConfirmed = status.ok && status.value.revision >= revision;
    const isExpired = clock.monotonicMilliseconds() >= deadlineMilliseconds;
    if (isConfirmed || isExpired) return { address: target.address, region, isConfirmed };
    await clock.sleep(POLL_INTERVAL_MILLISECONDS);
  }
}

/**
 * Polls nodes until a revision is in effect on all of them or the time is up.
 *
 * @param clock - Source of time.
 * @param nodes - Clients of the nodes.
 * @param targets - Nodes to poll.
 * @param revision - Revision to wait for.
 * @param regions - All regions of the manifest.
 * @param waitMilliseconds - Longest wait, in milliseconds.
 * @returns The nodes and regions that confirmed the revision.
 * @internal
 */
export async function confirmRollout(
  clock: Clock,
  nodes: NodeClients,
  targets: readonly Target[],
  revision: number,
  regions: readonly string[],
  waitMilliseconds: number,
): Promise<Rollout> {
  const deadlineMilliseconds = clock.monotonicMilliseconds() + waitMilliseconds;
  const confirmations = await Promise.all(
    targets.map((target) => waitForNode(clock, nodes, target, revision, deadlineMilliseconds)),
  );
  const isConfirmed = (region: string): boolean => {
    const inRegion = confirmations.filter((answer) => answer.region === region);
    return inRegion.length > 0 && inRegion.every((answer) => answer.isConfirmed);
  };
  const missing = confirmations.filter((answer) => !answer.isConfirmed);
  return {
    askedNodes: confirmations.length,
    confirmedNodes: confirmations.length - missing.length,
    unconfirmedRegions: regions.filter((region) => !isConfirmed(region)),
    unconfirmedNodes: missing
      .filter(({ region }) => region === undefined || !regions.includes(region))
      .map(({ address }) => address),
  };
}
